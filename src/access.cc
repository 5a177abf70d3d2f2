#include "oriolelever/access.h"

#include <algorithm>

#include <fmt/format.h>
#include <sodium.h>

namespace oriolelever {

namespace {

std::string hexadecimal(std::span<const unsigned char> bytes)
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

bool parseEntry(std::string_view text, OperatorToken &out)
{
    const auto first = text.find(':');
    const auto second = text.find(':', first + 1);
    if (first == std::string_view::npos || first == 0 || second == std::string_view::npos) {
        return false;
    }
    out.name = text.substr(0, first);
    return parseOperatorRole(text.substr(first + 1, second - first - 1), out.role)
        && parseHash(text.substr(second + 1), out.hash);
}

std::string_view trimmed(std::string_view text)
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
    return hexadecimal(bytes);
}

std::string toString(const OperatorToken &token)
{
    return fmt::format("{}:{}:{}", token.name, toString(token.role), hexadecimal(token.hash));
}

Result<std::vector<OperatorToken>> parseOperatorTokens(std::string_view text)
{
    std::vector<OperatorToken> tokens;
    while (!trimmed(text).empty()) {
        const auto comma = text.find(',');
        const auto entry = trimmed(text.substr(0, comma));
        OperatorToken token;
        if (!parseEntry(entry, token)) {
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
    // Every entry is compared, so that the time tells nothing of which one matched.
    for (const auto &known : tokens) {
        const bool same = sodium_memcmp(known.hash.data(), hash.data(), hash.size()) == 0;
        allowed = allowed || (same && known.role >= role);
    }
    return allowed;
}

} // namespace oriolelever
