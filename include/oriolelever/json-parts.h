/// JSON texts in parts, so that a part that cannot be decoded does not take the others with it. The outer
/// levels are split by brackets and quotes alone; each part is decoded by itself.
///
///     const auto members = splitObject(page);
///     const auto items = splitArray(memberPart(*members, "items").text);
///     for (const auto &item : *items) {
///         const auto json = decodeJson(item);
///     }
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include <nlohmann/json_fwd.hpp>

namespace oriolelever {

/// A value of a text that was split. Refers to that text.
struct JsonPart
{
    std::string_view text; ///< Empty if there is no such value.
    int depth = 0; ///< Levels of brackets.

    bool operator==(const JsonPart &) const = default;
};

/// A member of an object. Refers to the text that was split.
struct JsonMember
{
    std::string_view name; ///< As written, escapes included.
    JsonPart value;
};

/// Values that are nested deeper are not decoded, as users of `nlohmann::json` follow the nesting by
/// recursion.
constexpr int maxJsonDepth = 64;

/// Whether `text` has a zero byte, or begins with a byte of a byte order mark. RFC 8259 has a place for
/// neither, but the parsers of nlohmann::json and RapidJSON take the one as the end of the text and skip the
/// other, RapidJSON also a part of it.
bool hasIgnoredBytes(std::string_view text);

/// Returns how many levels deep the brackets of `text` are nested.
int nestingDepth(std::string_view text);

/// Returns the members of an object; unset if `text` is no object or its brackets and quotes do not match up.
std::optional<std::vector<JsonMember>> splitObject(std::string_view text);

/// Returns the elements of an array; unset if `text` is no array or its brackets and quotes do not match up.
std::optional<std::vector<JsonPart>> splitArray(std::string_view text);

/// Returns the value of the last member of that name, with an empty text if there is none.
JsonPart memberPart(const std::vector<JsonMember> &members, std::string_view name);

/// Returns the value of a text as RFC 8259 describes it; discarded if it is malformed, also by a zero byte or
/// a byte order mark, is nested deeper than `maxJsonDepth`, or has a text or number that cannot be
/// represented.
nlohmann::json decodeJson(std::string_view text);
nlohmann::json decodeJson(const JsonPart &part);

/// Returns a store's revision, an unsigned integer; unset if no member of that name holds one.
std::optional<std::uint64_t> decodeRevision(const std::vector<JsonMember> &members, std::string_view name);

/// Returns an object whose members are decoded one by one: null for each value that `decodeJson` discards,
/// without those whose names it discards. Discarded if `text` is no object.
nlohmann::json decodeMembers(std::string_view text);

} // namespace oriolelever
