package wire

//go:generate sh -c "protoc --plugin=protoc-gen-go=$(go tool -n protoc-gen-go) --go_out=../.. --go_opt=module=bamboowood bamboowood.proto schedule.proto"
