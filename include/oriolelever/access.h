/// Operators' tokens and roles.
#pragma once

#include <array>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "oriolelever/codes.h"

namespace oriolelever {

/// Each role may do what the ones before it may.
enum class OperatorRole {
    Viewer, ///< Reads status.
    Operator, ///< Asks questions that go to every process.
    Admin,
};

std::string_view toString(OperatorRole role);
bool parseOperatorRole(std::string_view text, OperatorRole &out);

constexpr std::size_t tokenHashBytes = 32;
using TokenHash = std::array<unsigned char, tokenHashBytes>;

/// One operator as the settings name them; the token itself is not kept.
struct OperatorToken
{
    std::string name;
    OperatorRole role = OperatorRole::Viewer;
    TokenHash hash{};
};

/// BLAKE2b of a token.
TokenHash hashToken(std::string_view token);
/// A new token of 256 random bits, hexadecimal.
std::string newToken();

/// "NAME:ROLE:HASH", as setting "process.admin_tokens" takes it.
std::string toString(const OperatorToken &token);
/// Parses entries separated by commas; the error names the entry.
Result<std::vector<OperatorToken>> parseOperatorTokens(std::string_view text);

/// True if no tokens are set or `token` is that of an operator of `role` or above. Compares in constant time.
bool isAllowed(std::span<const OperatorToken> tokens, std::string_view token, OperatorRole role);

} // namespace oriolelever
