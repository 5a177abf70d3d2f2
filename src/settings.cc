#include "oriolelever/settings.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cstdlib>
#include <fstream>

#include <INIReader.h>
#include <fmt/format.h>

#include "oriolelever/log.h"

namespace oriolelever {

namespace {

// Settings that all daemons have.
#define ORIOLELEVER_PROCESS_SPECS(ROLE) \
    {"process", "role", SettingType::Name, true, "", 0, 0, "role of the process: " ROLE}, \
        {"process", \
         "name", \
         SettingType::Name, \
         true, \
         "", \
         0, \
         0, \
         "name of the process, unique in the deployment"}, \
        {"process", "zone", SettingType::Name, true, "", 0, 0, "availability zone of the host"}, \
        {"process", "log", SettingType::Level, false, "info", 0, 0, "smallest level that is logged"}, \
        {"process", "admin", SettingType::Address, true, "", 0, 0, "metrics, health and status over HTTP"}, \
        {"process", \
         "admin_tokens", \
         SettingType::Text, \
         false, \
         "", \
         0, \
         0, \
         "NAME:ROLE:HASH of operators who may ask, separated by commas; empty lets all"}, \
        {"process", "drain_ms", SettingType::Time, false, "30000", 0, 3'600'000, "longest graceful shutdown"}, \
        {"control", "listen", SettingType::Address, true, "", 0, 0, "streams of other processes"}, \
        {"control", "seeds", SettingType::AddressList, false, "", 0, 0, "processes to join through"}, \
        {"control", "key", SettingType::Text, false, "", 0, 0, "shared secret for packet tags, hexadecimal"}, \
        {"control", \
         "previous_key", \
         SettingType::Text, \
         false, \
         "", \
         0, \
         0, \
         "secret still accepted while keys change"}, \
        {"control", "plain", SettingType::Flag, false, "false", 0, 0, "allows streams without TLS"}, \
        {"control", \
         "certificate", \
         SettingType::Text, \
         false, \
         "", \
         0, \
         0, \
         "PEM file with the process's certificate"}, \
        {"control", "private_key", SettingType::Text, false, "", 0, 0, "PEM file with the private key"}, \
        {"control", "authority", SettingType::Text, false, "", 0, 0, "PEM file with the trusted authority"}, \
        {"control", "heartbeat_ms", SettingType::Time, false, "500", 10, 60'000, "time between heartbeats"}, \
        {"control", "suspicion_ms", SettingType::Time,          false, "2000", \
         10,        600'000,        "from suspicion to removal"}, \
        {"platform", "url", SettingType::Url, true, "", 0, 0, "object API of the platform"}, \
        {"platform", "token", SettingType::Text, false, "", 0, 0, "bearer token for the platform"}, \
        {"platform", "timeout_ms", SettingType::Time, false, "2000", 10, 60'000, "time limit of one call"}, \
    { \
        "platform", "calls_per_second", SettingType::Count, false, "20", 1, 10'000, \
            "call budget of the process" \
    }

constexpr auto balancerSpecs = std::to_array<SettingSpec>({
    ORIOLELEVER_PROCESS_SPECS("balancer"),
    {"data", "listen", SettingType::Address, true, "", 0, 0, "encapsulated packets from the fabric (UDP)"},
    {"data", "threads", SettingType::Count, false, "1", 1, 256, "traffic threads"},
    {"data", "mtu", SettingType::Count, false, "1500", 576, 9216,
     "bytes that the link to the agents carries"},
    {"data", "return", SettingType::Address, false, "", 0, 0, "where ICMP errors for callers are sent (UDP)"},
});

constexpr auto agentSpecs = std::to_array<SettingSpec>({
    ORIOLELEVER_PROCESS_SPECS("agent"),
    {"data", "listen", SettingType::Address, true, "", 0, 0, "encapsulated packets from balancers (UDP)"},
    {"data", "threads", SettingType::Count, false, "1", 1, 256, "traffic threads"},
    {"data", "return", SettingType::Address, true, "", 0, 0, "where answers to callers are sent (UDP)"},
    {"data", "mtu", SettingType::Count, false, "1500", 576, 9216, "bytes that the data links carry"},
    {"data", "tun", SettingType::Text, false, "", 0, 0, "TUN device; empty delivers over sockets"},
    {"server", "service", SettingType::Name, true, "", 0, 0, "service of the backend server"},
    {"server", "packets", SettingType::Address, true, "", 0, 0,
     "where the backend server takes packets (UDP)"},
    {"server", "requests", SettingType::Address, true, "", 0, 0, "where the backend server takes HTTP (TCP)"},
    {"server", "connection_limit", SettingType::Count, false, "0", 0, 1'000'000,
     "0 takes the service's limit"},
    {"server", "slot_limit", SettingType::Count, false, "0", 0, 100'000, "0 takes the service's limit"},
    {"requests", "listen", SettingType::Address, true, "", 0, 0, "HTTP requests of callers (TCP)"},
    {"requests", "handover", SettingType::Address, true, "", 0, 0,
     "requests handed over by other agents (TCP)"},
    {"requests", "urgent_paths", SettingType::Text, false, "/status,/dossier,/confirmation,/feed", 0, 0,
     "prefixes of urgent paths, separated by commas"},
    {"requests", "queue_limit", SettingType::Count, false, "256", 1, 100'000, "requests that wait"},
    {"requests", "caller_queue_limit", SettingType::Count, false, "32", 1, 100'000,
     "waiting requests of one caller address"},
    {"requests", "caller_connection_limit", SettingType::Count, false, "256", 1, 100'000,
     "open connections of one caller address"},
    {"requests", "max_body_bytes", SettingType::Count, false, "1048576", 1, 1'073'741'824,
     "largest body of a request"},
    {"requests", "read_limit_ms", SettingType::Time, false, "10000", 10, 600'000,
     "to receive one whole request; idle connections are closed after it"},
    {"requests", "claim_window_ms", SettingType::Time, false, "600000", 1000, 86'400'000,
     "how long an idempotency key is remembered"},
    {"requests", "clock_tolerance_ms", SettingType::Time, false, "2000", 0, 60'000,
     "largest difference between clocks of hosts and callers"},
    {"requests", "linger_ms", SettingType::Time, false, "1000", 0, 60'000,
     "a shutdown tells connections to close for at least this long"},
});

constexpr auto operatorSpecs = std::to_array<SettingSpec>({
    {"process", "role", SettingType::Name, true, "", 0, 0, "role: operator"},
    {"process", "name", SettingType::Name, false, "operator", 0, 0, "name written into the history"},
    {"process", "log", SettingType::Level, false, "warn", 0, 0, "smallest level that is logged"},
    {"platform", "url", SettingType::Url, true, "", 0, 0, "object API of the platform"},
    {"platform", "token", SettingType::Text, false, "", 0, 0, "bearer token of the operator"},
    {"platform", "timeout_ms", SettingType::Time, false, "2000", 10, 60'000, "time limit of one call"},
    {"platform", "calls_per_second", SettingType::Count, false, "100", 1, 10'000, "call budget"},
    {"operator", "token", SettingType::Text, false, "", 0, 0, "bearer token for the processes"},
    {"operator", "admin", SettingType::AddressList, false, "", 0, 0, "admin addresses to ask for status"},
});

#undef ORIOLELEVER_PROCESS_SPECS

std::string fullKey(std::string_view section, std::string_view key)
{
    return fmt::format("{}.{}", section, key);
}

std::string trim(std::string_view text)
{
    const auto first = text.find_first_not_of(" \t\r");
    if (first == std::string_view::npos) {
        return {};
    }
    const auto last = text.find_last_not_of(" \t\r");
    return std::string(text.substr(first, last - first + 1));
}

// Longest line, in characters, that INIReader reads without truncating it.
constexpr std::size_t maxLineLength = 198;

// Position of one setting in the file.
struct SettingLine
{
    int number = 0; ///< Line number of the key, from 1.
    std::string section;
    std::string key;
    std::size_t longestLineLength = 0; ///< Characters of the longest line of the setting.
};

// Finds the lines of the settings in a separate pass, as INIReader keeps no line numbers.
std::vector<SettingLine> readSettingLines(const std::string &file)
{
    std::vector<SettingLine> lines;
    std::ifstream in(file);
    std::string text;
    std::string section;
    for (int number = 1; std::getline(in, text); ++number) {
        const auto trimmed = trim(text);
        const bool continuation
            = !lines.empty() && !text.empty() && (text.front() == ' ' || text.front() == '\t');
        if (continuation && !trimmed.empty()) {
            lines.back().longestLineLength = std::max(lines.back().longestLineLength, text.size());
            continue;
        }
        if (trimmed.empty() || trimmed.front() == ';' || trimmed.front() == '#') {
            continue;
        }
        if (trimmed.front() == '[') {
            section = trimmed.substr(1, trimmed.find(']') - 1);
            continue;
        }
        lines.push_back({number, section, trim(trimmed.substr(0, trimmed.find('='))), text.size()});
    }
    return lines;
}

bool parseCount(std::string_view text, std::uint64_t &out)
{
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), out);
    return error == std::errc{} && end == text.data() + text.size();
}

std::vector<std::string> splitList(std::string_view text)
{
    std::vector<std::string> items;
    while (!text.empty()) {
        // INIReader separates the lines of a value by line feeds.
        const auto comma = text.find_first_of(",\n");
        const auto item = trim(text.substr(0, comma));
        if (!item.empty()) {
            items.push_back(item);
        }
        text = comma == std::string_view::npos ? std::string_view() : text.substr(comma + 1);
    }
    return items;
}

bool isName(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), [](unsigned char c) {
        return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
    });
}

bool isUrl(std::string_view text)
{
    constexpr std::string_view scheme = "http://";
    Endpoint endpoint;
    return text.starts_with(scheme) && parseEndpoint(text.substr(scheme.size()), endpoint);
}

bool isAddressList(std::string_view text)
{
    const auto items = splitList(text);
    Endpoint endpoint;
    return std::all_of(items.begin(), items.end(),
                       [&](const auto &item) { return parseEndpoint(item, endpoint); });
}

// True if a value that is not empty conforms to the schema.
bool isAllowed(const SettingSpec &spec, const std::string &value)
{
    std::uint64_t number = 0;
    Endpoint endpoint;
    LogLevel level = LogLevel::Info;
    switch (spec.type) {
    case SettingType::Text:
        return true;
    case SettingType::Name:
        return isName(value);
    case SettingType::Flag:
        return value == "true" || value == "false";
    case SettingType::Count:
    case SettingType::Time:
        return parseCount(value, number) && number >= spec.min && number <= spec.max;
    case SettingType::Address:
        return parseEndpoint(value, endpoint);
    case SettingType::AddressList:
        return isAddressList(value);
    case SettingType::Url:
        return isUrl(value);
    case SettingType::Level:
        return parseLogLevel(value, level);
    }
    return false;
}

const SettingSpec *findSpec(std::span<const SettingSpec> specs, const SettingLine &line)
{
    const auto spec = std::find_if(specs.begin(), specs.end(), [&](const SettingSpec &s) {
        return s.section == line.section && s.key == line.key;
    });
    return spec == specs.end() ? nullptr : &*spec;
}

// Keys of a section, separated by commas, for the error on an unknown key.
std::string knownKeyNames(std::span<const SettingSpec> specs, const std::string &section)
{
    std::string keys;
    for (const auto &spec : specs) {
        if (spec.section != section) {
            continue;
        }
        keys += keys.empty() ? "" : ", ";
        keys += spec.key;
    }
    return keys.empty() ? "no such section" : keys;
}

} // namespace

std::string allowedText(const SettingSpec &spec)
{
    switch (spec.type) {
    case SettingType::Text:
        return "any text";
    case SettingType::Name:
        return "letters, digits, '-', '_' and '.'";
    case SettingType::Flag:
        return "true or false";
    case SettingType::Count:
        return fmt::format("{} to {}", spec.min, spec.max);
    case SettingType::Time:
        return fmt::format("{} to {} milliseconds", spec.min, spec.max);
    case SettingType::Address:
        return "ADDRESS:PORT";
    case SettingType::AddressList:
        return "ADDRESS:PORT, separated by commas";
    case SettingType::Url:
        return "http://ADDRESS:PORT";
    case SettingType::Level:
        return "debug, info, warn or error";
    }
    return {};
}

std::string toString(const Problem &problem)
{
    if (problem.line == 0) {
        return fmt::format("{}: {} is missing; allowed: {}", problem.file, problem.key, problem.allowed);
    }
    return fmt::format("{}:{}: {} = \"{}\"; allowed: {}", problem.file, problem.line, problem.key,
                       problem.value, problem.allowed);
}

Settings::Settings(std::string file, std::map<std::string, std::string> values)
    : m_file(std::move(file))
    , m_values(std::move(values))
{
}

const std::string &Settings::text(std::string_view section, std::string_view key) const
{
    const auto entry = m_values.find(fullKey(section, key));
    if (entry == m_values.end()) {
        fmt::print(stderr, "setting \"{}.{}\" is not in the schema\n", section, key);
        std::abort();
    }
    return entry->second;
}

bool Settings::has(std::string_view section, std::string_view key) const
{
    return !text(section, key).empty();
}

bool Settings::flag(std::string_view section, std::string_view key) const
{
    return text(section, key) == "true";
}

std::uint64_t Settings::count(std::string_view section, std::string_view key) const
{
    std::uint64_t number = 0;
    parseCount(text(section, key), number);
    return number;
}

std::chrono::milliseconds Settings::time(std::string_view section, std::string_view key) const
{
    return std::chrono::milliseconds(count(section, key));
}

Endpoint Settings::address(std::string_view section, std::string_view key) const
{
    Endpoint endpoint;
    parseEndpoint(text(section, key), endpoint);
    return endpoint;
}

std::vector<Endpoint> Settings::addresses(std::string_view section, std::string_view key) const
{
    std::vector<Endpoint> endpoints;
    for (const auto &item : splitList(text(section, key))) {
        Endpoint endpoint;
        parseEndpoint(item, endpoint);
        endpoints.push_back(endpoint);
    }
    return endpoints;
}

std::span<const SettingSpec> settingSpecs(std::string_view role)
{
    if (role == "balancer") {
        return balancerSpecs;
    }
    if (role == "agent") {
        return agentSpecs;
    }
    if (role == "operator") {
        return operatorSpecs;
    }
    return {};
}

Settings readSettings(const std::string &file, std::span<const SettingSpec> specs,
                      std::vector<Problem> &problems)
{
    const auto lines = readSettingLines(file);
    for (const auto &line : lines) {
        if (line.longestLineLength > maxLineLength) {
            problems.push_back({file, line.number, fullKey(line.section, line.key),
                                fmt::format("a line of {} characters", line.longestLineLength),
                                fmt::format("lines of up to {} characters; indented lines continue a value",
                                            maxLineLength)});
        }
    }
    const INIReader reader(file);
    if (reader.ParseError() != 0) {
        const int line = std::max(reader.ParseError(), 0);
        problems.push_back(
            {file, line, "file", "", "a readable file of \"key = value\" lines in [sections]"});
        return {};
    }
    for (const auto &line : lines) {
        if (findSpec(specs, line) != nullptr) {
            continue;
        }
        problems.push_back({file, line.number, fullKey(line.section, line.key),
                            reader.Get(line.section, line.key, ""), knownKeyNames(specs, line.section)});
    }
    std::map<std::string, std::string> values;
    for (const auto &spec : specs) {
        const std::string section(spec.section);
        const std::string key(spec.key);
        const auto line = std::find_if(lines.begin(), lines.end(), [&](const SettingLine &l) {
            return l.section == section && l.key == key;
        });
        const auto value = reader.Get(section, key, std::string(spec.fallback));
        values[fullKey(section, key)] = value;
        if (line == lines.end()) {
            if (spec.required) {
                problems.push_back({file, 0, fullKey(section, key), "", allowedText(spec)});
            }
            continue;
        }
        const bool emptyAllowed = !spec.required && spec.fallback.empty();
        if ((value.empty() && !emptyAllowed) || (!value.empty() && !isAllowed(spec, value))) {
            problems.push_back({file, line->number, fullKey(section, key), value, allowedText(spec)});
        }
    }
    return Settings(file, std::move(values));
}

std::optional<std::string> settingsRole(const std::string &file)
{
    const INIReader reader(file);
    if (reader.ParseError() != 0) {
        return std::nullopt;
    }
    return reader.Get("process", "role", "");
}

} // namespace oriolelever
