/// Access control for operators: bearer tokens and roles.
#pragma once

#include <array>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "oriolelever/codes.h"

namespace oriolelever {

/// Roles in ascending order; each has the permissions of the ones before it.
enum class OperatorRole {
    Viewer, ///< Reads status.
    Operator, ///< Sends queries that a process forwards to all others.
    Admin, ///< Not required by any path.
};

std::string_view toString(OperatorRole role);
/// Parses "viewer", "operator" or "admin"; false leaves `out` unchanged.
bool parseOperatorRole(std::string_view text, OperatorRole &out);

constexpr std::size_t tokenHashBytes = 32;
using TokenHash = std::array<unsigned char, tokenHashBytes>;

/// One operator of setting "process.admin_tokens". Holds the hash of the token, not the token itself.
struct OperatorToken
{
    std::string name;
    OperatorRole role = OperatorRole::Viewer;
    TokenHash hash{};
};

/// BLAKE2b hash of a token.
TokenHash hashToken(std::string_view token);
/// Generates a token of 256 random bits in hexadecimal.
std::string newToken();

/// Formats an entry of setting "process.admin_tokens": NAME:ROLE:HASH with the hash in hexadecimal.
std::string toString(const OperatorToken &token);
/// Parses the value of setting "process.admin_tokens", entries separated by commas. Fails with
/// `Code::SettingInvalid` and a text that names the invalid entry.
Result<std::vector<OperatorToken>> parseOperatorTokens(std::string_view text);

/// True if `tokens` is empty, or if `token` belongs to an operator who has `role` or a higher one. Compares
/// in constant time.
bool isAllowed(std::span<const OperatorToken> tokens, std::string_view token, OperatorRole role);

} // namespace oriolelever
