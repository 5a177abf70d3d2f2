/// Settings in INI, checked as a whole before anything starts.
#pragma once

#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "oriolelever/codes.h"
#include "oriolelever/types.h"

namespace oriolelever {

enum class SettingType {
    Text,
    Name, ///< Letters, digits, '-', '_' and '.'.
    Flag, ///< true or false.
    Count, ///< Whole number within [min, max].
    Time, ///< Milliseconds within [min, max].
    Address, ///< ADDRESS:PORT.
    AddressList, ///< ADDRESS:PORT separated by commas.
    Url, ///< http://ADDRESS:PORT
    Level, ///< debug, info, warn or error.
};

/// One setting that a role knows.
struct SettingSpec
{
    std::string_view section;
    std::string_view key;
    SettingType type = SettingType::Text;
    bool required = false;
    std::string_view fallback; ///< Value when absent.
    std::uint64_t min = 0;
    std::uint64_t max = UINT32_MAX;
    std::string_view help;
};

/// What a setting allows, in words.
std::string allowedText(const SettingSpec &spec);

/// Every setting of every role as a Markdown page, the same as docs/SETTINGS.md.
std::string settingsDocument();

/// One problem of a settings file or table.
struct Problem
{
    std::string file;
    int line = 0; ///< 0 when the thing is missing.
    std::string key;
    std::string value;
    std::string allowed;
};

/// "FILE:LINE: KEY = VALUE; allowed: ..."
std::string toString(const Problem &problem);

/// Checked settings of one process. Accessors abort on a key that the schema lacks.
class Settings
{
public:
    Settings() = default;
    Settings(std::string file, std::map<std::string, std::string> values);

    const std::string &file() const
    {
        return m_file;
    }

    const std::string &text(std::string_view section, std::string_view key) const;
    bool has(std::string_view section, std::string_view key) const; ///< Present and not empty.
    bool flag(std::string_view section, std::string_view key) const;
    std::uint64_t count(std::string_view section, std::string_view key) const;
    std::chrono::milliseconds time(std::string_view section, std::string_view key) const;
    Endpoint address(std::string_view section, std::string_view key) const;
    std::vector<Endpoint> addresses(std::string_view section, std::string_view key) const;

private:
    std::string m_file;
    std::map<std::string, std::string> m_values; ///< By "section.key".
};

/// Settings of a role: "balancer", "agent" or "operator"; empty for an unknown role.
std::span<const SettingSpec> settingSpecs(std::string_view role);

/// Reads `file` for a role. Appends every problem to `problems`; the settings are usable only if none was
/// appended.
Settings readSettings(const std::string &file, std::span<const SettingSpec> specs,
                      std::vector<Problem> &problems);

/// The role that the file names in `[process] role`, if it can be read.
std::optional<std::string> settingsRole(const std::string &file);

} // namespace oriolelever
