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

    // Returns the text of the next value, empty if there is none.
    std::string_view readValue()
    {
        skipSpace();
        const auto start = m_position;
        bool isComplete = m_position < m_text.size();
        if (isComplete && m_text[m_position] == '"') {
            isComplete = skipString();
        } else if (isComplete && (m_text[m_position] == '{' || m_text[m_position] == '[')) {
            isComplete = skipBrackets();
        } else {
            m_position = std::min(m_text.find_first_of(",]} \t\r\n", m_position), m_text.size());
        }
        return isComplete ? m_text.substr(start, m_position - start) : std::string_view();
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
    bool skipBrackets()
    {
        std::size_t depth = 0;
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
            if ((c == '}' || c == ']') && --depth == 0) {
                return true;
            }
        }
        return false;
    }

    std::string_view m_text;
    std::size_t m_position = 0;
};

} // namespace

bool hasIgnoredBytes(std::string_view text)
{
    constexpr std::string_view byteOrderMark = "\xEF\xBB\xBF";
    const bool beginsWithMark = !text.empty() && byteOrderMark.find(text.front()) != std::string_view::npos;
    return beginsWithMark || text.find('\0') != std::string_view::npos;
}

bool isNestedDeeperThan(std::string_view text, int limit)
{
    int depth = 0;
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
        if (depth > limit) {
            return true;
        }
    }
    return false;
}

std::optional<std::vector<JsonMember>> splitObject(std::string_view text)
{
    Scanner scanner(text);
    std::vector<JsonMember> members;
    if (!scanner.accept('{')) {
        return {};
    }
    if (scanner.accept('}')) {
        return scanner.isAtEnd() ? std::optional(members) : std::nullopt;
    }
    do {
        const auto name = scanner.readValue();
        if (name.size() < 2 || name.front() != '"' || !scanner.accept(':')) {
            return {};
        }
        const auto value = scanner.readValue();
        if (value.empty()) {
            return {};
        }
        members.push_back({.name = name.substr(1, name.size() - 2), .value = value});
    } while (scanner.accept(','));
    return scanner.accept('}') && scanner.isAtEnd() ? std::optional(std::move(members)) : std::nullopt;
}

std::optional<std::vector<std::string_view>> splitArray(std::string_view text)
{
    Scanner scanner(text);
    std::vector<std::string_view> elements;
    if (!scanner.accept('[')) {
        return {};
    }
    if (scanner.accept(']')) {
        return scanner.isAtEnd() ? std::optional(elements) : std::nullopt;
    }
    do {
        const auto element = scanner.readValue();
        if (element.empty()) {
            return {};
        }
        elements.push_back(element);
    } while (scanner.accept(','));
    return scanner.accept(']') && scanner.isAtEnd() ? std::optional(std::move(elements)) : std::nullopt;
}

std::string_view memberText(const std::vector<JsonMember> &members, std::string_view name)
{
    const auto found = std::find_if(members.rbegin(), members.rend(),
                                    [&](const JsonMember &member) { return member.name == name; });
    return found == members.rend() ? std::string_view() : found->value;
}

nlohmann::json decodeJson(std::string_view text)
{
    if (hasIgnoredBytes(text) || isNestedDeeperThan(text, maxJsonDepth)) {
        return nlohmann::json(nlohmann::json::value_t::discarded);
    }
    return nlohmann::json::parse(text, nullptr, false);
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
