/// JSON texts in parts, so that a part that cannot be decoded does not take the others with it. The outer
/// levels are split by brackets and quotes alone; each part is decoded by itself.
///
///     const auto members = splitObject(page);
///     for (const auto item : splitArray(memberText(*members, "items")).value_or({})) {
///         const auto json = decodeJson(item);
///     }
#pragma once

#include <optional>
#include <string_view>
#include <vector>

#include <nlohmann/json_fwd.hpp>

namespace oriolelever {

/// A member of an object. Both refer to the text that was split.
struct JsonMember
{
    std::string_view name; ///< As written, escapes included.
    std::string_view value;
};

/// Values that are nested deeper are not decoded, as users of `nlohmann::json` follow the nesting by
/// recursion.
constexpr int maxJsonDepth = 64;

/// Whether `text` has a zero byte, or begins with a byte of a byte order mark. RFC 8259 has a place for
/// neither, but the parsers of nlohmann::json and RapidJSON take the one as the end of the text and skip the
/// other, RapidJSON also a part of it.
bool hasIgnoredBytes(std::string_view text);

/// Whether the brackets of `text` are nested deeper than `limit`.
bool isNestedDeeperThan(std::string_view text, int limit);

/// Returns the members of an object; unset if `text` is no object or its brackets and quotes do not match up.
std::optional<std::vector<JsonMember>> splitObject(std::string_view text);

/// Returns the elements of an array; unset if `text` is no array or its brackets and quotes do not match up.
std::optional<std::vector<std::string_view>> splitArray(std::string_view text);

/// Returns the value of the last member of that name, empty if there is none.
std::string_view memberText(const std::vector<JsonMember> &members, std::string_view name);

/// Returns the value of a text as RFC 8259 describes it; discarded if it is malformed, also by a zero byte or
/// a byte order mark, is nested deeper than `maxJsonDepth`, or has a text or number that cannot be
/// represented.
nlohmann::json decodeJson(std::string_view text);

/// Returns an object whose members are decoded one by one: null for each value that `decodeJson` discards,
/// without those whose names it discards. Discarded if `text` is no object.
nlohmann::json decodeMembers(std::string_view text);

} // namespace oriolelever
