/// Settings of a process from an INI file, validated completely before the process starts.
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
    Address, ///< ADDRESS:PORT
    AddressList, ///< ADDRESS:PORT entries separated by commas.
    Url, ///< http://ADDRESS:PORT
    Level, ///< debug, info, warn or error.
};

/// Schema of one setting of a role.
struct SettingSpec
{
    std::string_view section;
    std::string_view key;
    SettingType type = SettingType::Text;
    bool required = false;
    std::string_view fallback; ///< Value if the file lacks the setting.
    std::uint64_t min = 0; ///< Smallest `Count` or, in milliseconds, `Time`.
    std::uint64_t max = UINT32_MAX; ///< Largest `Count` or, in milliseconds, `Time`.
    std::string_view help; ///< Description for the documentation.
};

/// Describes the allowed values of a setting for error messages, such as "1 to 256".
std::string allowedText(const SettingSpec &spec);

/// Markdown page of all settings of all roles; docs/SETTINGS.md must be equal to it.
std::string settingsDocument();

/// One problem of a settings file or table.
struct Problem
{
    std::string file;
    int line = 0; ///< From 1; 0 if the setting, column or file is missing.
    std::string key; ///< "section.key" of a setting, or the part of a table file that is invalid.
    std::string value; ///< The invalid value.
    std::string allowed; ///< Description of the allowed values.
};

/// Formats a problem as `FILE:LINE: KEY = "VALUE"; allowed: ...`, or as `FILE: KEY is missing; allowed: ...`.
std::string toString(const Problem &problem);

/// Validated settings of one process. Accessors abort the process if the role's schema lacks the key.
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
    bool has(std::string_view section, std::string_view key) const; ///< True if the value is not empty.
    bool flag(std::string_view section, std::string_view key) const;
    std::uint64_t count(std::string_view section, std::string_view key) const;
    std::chrono::milliseconds time(std::string_view section, std::string_view key) const;
    Endpoint address(std::string_view section, std::string_view key) const;
    std::vector<Endpoint> addresses(std::string_view section, std::string_view key) const;

private:
    std::string m_file;
    std::map<std::string, std::string> m_values; ///< Values and defaults by "section.key".
};

/// Schema of a role, which is "balancer", "agent" or "operator"; empty for an unknown role.
std::span<const SettingSpec> settingSpecs(std::string_view role);

/// Reads `file` and validates it against the schema `specs`. Appends every problem to `problems`; the
/// settings are valid only if none was appended.
Settings readSettings(const std::string &file, std::span<const SettingSpec> specs,
                      std::vector<Problem> &problems);

/// The value of `process.role` in the file; nothing if the file cannot be read.
std::optional<std::string> settingsRole(const std::string &file);

} // namespace oriolelever
