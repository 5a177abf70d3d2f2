#include "oriolelever/access.h"

#include <algorithm>

#include <fmt/format.h>
#include <sodium.h>

namespace oriolelever {

namespace {

std::string toHex(std::span<const unsigned char> bytes)
{
    std::string text(2 * bytes.size() + 1, '\0');
    sodium_bin2hex(text.data(), text.size(), bytes.data(), bytes.size());
    text.pop_back();
    return text;
}

bool parseHash(std::string_view text, TokenHash &out)
{
    std::size_t length = 0;
    const char *end = nullptr;
    const int failed
        = sodium_hex2bin(out.data(), out.size(), text.data(), text.size(), nullptr, &length, &end);
    return failed == 0 && length == out.size() && end == text.data() + text.size();
}

bool parseTokenEntry(std::string_view text, OperatorToken &out)
{
    const auto firstColon = text.find(':');
    const auto secondColon = text.find(':', firstColon + 1);
    if (firstColon == std::string_view::npos || firstColon == 0 || secondColon == std::string_view::npos) {
        return false;
    }
    out.name = text.substr(0, firstColon);
    return parseOperatorRole(text.substr(firstColon + 1, secondColon - firstColon - 1), out.role)
        && parseHash(text.substr(secondColon + 1), out.hash);
}

std::string_view trimSpaces(std::string_view text)
{
    while (text.starts_with(' ')) {
        text.remove_prefix(1);
    }
    while (text.ends_with(' ')) {
        text.remove_suffix(1);
    }
    return text;
}

} // namespace

std::string_view toString(OperatorRole role)
{
    switch (role) {
    case OperatorRole::Viewer:
        return "viewer";
    case OperatorRole::Operator:
        return "operator";
    case OperatorRole::Admin:
        return "admin";
    }
    return "viewer";
}

bool parseOperatorRole(std::string_view text, OperatorRole &out)
{
    for (const auto role : {OperatorRole::Viewer, OperatorRole::Operator, OperatorRole::Admin}) {
        if (toString(role) == text) {
            out = role;
            return true;
        }
    }
    return false;
}

TokenHash hashToken(std::string_view token)
{
    TokenHash hash{};
    crypto_generichash(hash.data(), hash.size(), reinterpret_cast<const unsigned char *>(token.data()),
                       token.size(), nullptr, 0);
    return hash;
}

std::string newToken()
{
    std::array<unsigned char, tokenHashBytes> bytes{};
    randombytes_buf(bytes.data(), bytes.size());
    return toHex(bytes);
}

std::string toString(const OperatorToken &token)
{
    return fmt::format("{}:{}:{}", token.name, toString(token.role), toHex(token.hash));
}

Result<std::vector<OperatorToken>> parseOperatorTokens(std::string_view text)
{
    std::vector<OperatorToken> tokens;
    while (!trimSpaces(text).empty()) {
        const auto comma = text.find(',');
        const auto entry = trimSpaces(text.substr(0, comma));
        OperatorToken token;
        if (!parseTokenEntry(entry, token)) {
            return fail(Code::SettingInvalid,
                        fmt::format("setting \"process.admin_tokens\" does not allow \"{}\"; allowed: "
                                    "NAME:viewer|operator|admin:HASH",
                                    entry));
        }
        tokens.push_back(std::move(token));
        text = comma == std::string_view::npos ? std::string_view() : text.substr(comma + 1);
    }
    return tokens;
}

bool isAllowed(std::span<const OperatorToken> tokens, std::string_view token, OperatorRole role)
{
    if (tokens.empty()) {
        return true;
    }
    const auto hash = hashToken(token);
    bool allowed = false;
    // All entries are compared, so that the duration does not reveal which one matched.
    for (const auto &candidate : tokens) {
        const bool isMatch = sodium_memcmp(candidate.hash.data(), hash.data(), hash.size()) == 0;
        allowed = allowed || (isMatch && candidate.role >= role);
    }
    return allowed;
}

} // namespace oriolelever
