package settingspb

import _ "embed"

// SourceDescriptor is the FileDescriptorSet of settings.proto and config.proto
// including comments, which the generated Go descriptors omit.
//
//go:embed settings.binpb
var SourceDescriptor []byte
