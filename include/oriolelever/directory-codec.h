/// Wire form of the datagrams between agents.
#pragma once

#include <string>
#include <string_view>

#include "oriolelever/directory.h"

namespace oriolelever {

/// Protobuf bytes of a message; at most `maxDirectoryMessage` for those that the directory makes.
std::string encodeDirectoryMessage(const DirectoryMessage &message);

/// Fails with `Code::MessageMalformed`; the text names the field.
Result<DirectoryMessage> decodeDirectoryMessage(std::string_view bytes);

} // namespace oriolelever
