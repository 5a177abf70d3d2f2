#include "oriolelever/json-parts.h"

#include <algorithm>
#include <string>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace oriolelever {

namespace {

// Reads the text from its start.
class Scanner
{
public:
    explicit Scanner(std::string_view text)
        : m_text(text)
    {
    }

    // Skips white space, and the character if it comes next; returns whether it did.
    bool accept(char expected)
    {
        skipSpace();
        if (m_position == m_text.size() || m_text[m_position] != expected) {
            return false;
        }
        ++m_position;
        return true;
    }

    bool isAtEnd()
    {
        skipSpace();
        return m_position == m_text.size();
    }

    // Returns the next value, with an empty text if there is none.
    JsonPart readValue()
    {
        skipSpace();
        const auto start = m_position;
        int depth = 0;
        bool isComplete = m_position < m_text.size();
        if (isComplete && m_text[m_position] == '"') {
            isComplete = skipString();
        } else if (isComplete && (m_text[m_position] == '{' || m_text[m_position] == '[')) {
            isComplete = skipBrackets(depth);
        } else {
            m_position = std::min(m_text.find_first_of(",]} \t\r\n", m_position), m_text.size());
        }
        return isComplete ? JsonPart{.text = m_text.substr(start, m_position - start), .depth = depth}
                          : JsonPart();
    }

private:
    void skipSpace()
    {
        m_position = std::min(m_text.find_first_not_of(" \t\r\n", m_position), m_text.size());
    }

    bool skipString()
    {
        for (++m_position; m_position < m_text.size(); ++m_position) {
            if (m_text[m_position] == '"') {
                ++m_position;
                return true;
            }
            m_position += m_text[m_position] == '\\' ? 1 : 0;
        }
        m_position = m_text.size();
        return false;
    }

    // Counts both kinds of brackets together: a value with mismatched ones is for `decodeJson` to refuse.
    bool skipBrackets(int &deepest)
    {
        int depth = 0;
        while (m_position < m_text.size()) {
            const char c = m_text[m_position];
            if (c == '"') {
                if (!skipString()) {
                    return false;
                }
                continue;
            }
            ++m_position;
            depth += c == '{' || c == '[' ? 1 : 0;
            deepest = std::max(deepest, depth);
            if ((c == '}' || c == ']') && --depth == 0) {
                return true;
            }
        }
        return false;
    }

    std::string_view m_text;
    std::size_t m_position = 0;
};

// Splits what stands between `open` and `close`, separated by commas; `read` reads one part and returns
// whether it is complete.
template<typename Part, typename Read>
std::optional<std::vector<Part>> splitParts(std::string_view text, char open, char close, const Read &read)
{
    Scanner scanner(text);
    std::vector<Part> parts;
    if (!scanner.accept(open)) {
        return {};
    }
    bool isClosed = scanner.accept(close);
    while (!isClosed) {
        if (!read(scanner, parts.emplace_back())) {
            return {};
        }
        isClosed = !scanner.accept(',');
        if (isClosed && !scanner.accept(close)) {
            return {};
        }
    }
    return scanner.isAtEnd() ? std::optional(std::move(parts)) : std::nullopt;
}

} // namespace

bool hasIgnoredBytes(std::string_view text)
{
    constexpr std::string_view byteOrderMark = "\xEF\xBB\xBF";
    const bool beginsWithMark = !text.empty() && byteOrderMark.find(text.front()) != std::string_view::npos;
    return beginsWithMark || text.find('\0') != std::string_view::npos;
}

int nestingDepth(std::string_view text)
{
    int depth = 0;
    int deepest = 0;
    bool isInString = false;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const char c = text[i];
        if (isInString) {
            i += c == '\\' ? 1 : 0;
            isInString = c != '"';
            continue;
        }
        isInString = c == '"';
        depth += c == '{' || c == '[' ? 1 : c == '}' || c == ']' ? -1 : 0;
        deepest = std::max(deepest, depth);
    }
    return deepest;
}

std::optional<std::vector<JsonMember>> splitObject(std::string_view text)
{
    return splitParts<JsonMember>(text, '{', '}', [](Scanner &scanner, JsonMember &member) {
        const auto name = scanner.readValue().text;
        if (name.size() < 2 || name.front() != '"' || !scanner.accept(':')) {
            return false;
        }
        member = {.name = name.substr(1, name.size() - 2), .value = scanner.readValue()};
        return !member.value.text.empty();
    });
}

std::optional<std::vector<JsonPart>> splitArray(std::string_view text)
{
    return splitParts<JsonPart>(text, '[', ']', [](Scanner &scanner, JsonPart &element) {
        element = scanner.readValue();
        return !element.text.empty();
    });
}

JsonPart memberPart(const std::vector<JsonMember> &members, std::string_view name)
{
    const auto found = std::find_if(members.rbegin(), members.rend(),
                                    [&](const JsonMember &member) { return member.name == name; });
    return found == members.rend() ? JsonPart() : found->value;
}

nlohmann::json decodeJson(const JsonPart &part)
{
    if (hasIgnoredBytes(part.text) || part.depth > maxJsonDepth) {
        return nlohmann::json(nlohmann::json::value_t::discarded);
    }
    return nlohmann::json::parse(part.text, nullptr, false);
}

nlohmann::json decodeJson(std::string_view text)
{
    return decodeJson(JsonPart{.text = text, .depth = nestingDepth(text)});
}

std::optional<std::uint64_t> decodeRevision(const std::vector<JsonMember> &members, std::string_view name)
{
    const auto revision = decodeJson(memberPart(members, name));
    return revision.is_number_unsigned() ? std::optional(revision.get<std::uint64_t>()) : std::nullopt;
}

nlohmann::json decodeMembers(std::string_view text)
{
    const auto members = splitObject(text);
    if (!members) {
        return nlohmann::json(nlohmann::json::value_t::discarded);
    }
    auto decoded = nlohmann::json::object();
    for (const auto &member : *members) {
        const auto name = decodeJson(fmt::format("\"{}\"", member.name));
        if (!name.is_string()) {
            continue;
        }
        auto value = decodeJson(member.value);
        decoded[name.get<std::string>()] = value.is_discarded() ? nlohmann::json() : std::move(value);
    }
    return decoded;
}

} // namespace oriolelever
