/// Encoding of the datagrams between the agents of a service.
#pragma once

#include <string>
#include <string_view>

#include "oriolelever/directory.h"

namespace oriolelever {

/// Encodes a message with protobuf. Those that the directory sends take at most `maxDirectoryMessageBytes`.
std::string encodeDirectoryMessage(const DirectoryMessage &message);

/// Decodes a message. Fails with `Code::MessageMalformed`; the error text names the field.
Result<DirectoryMessage> decodeDirectoryMessage(std::string_view bytes);

} // namespace oriolelever
