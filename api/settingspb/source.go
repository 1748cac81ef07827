package settingspb

import _ "embed"

// SourceDescriptor is the FileDescriptorSet of settings.proto and config.proto
// with the comments of the schemas, which the generated Go descriptors leave
// out.
//
//go:embed settings.binpb
var SourceDescriptor []byte
