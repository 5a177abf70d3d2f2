#include "oriolelever/table.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>

#include <fmt/format.h>

namespace oriolelever {

namespace {

constexpr std::uint64_t maxLimit = 1'000'000; ///< Flows or requests of one server.
constexpr std::uint64_t maxMilliseconds = 86'400'000; ///< One day.
constexpr std::uint64_t maxWeight = 1000;

constexpr auto columns = std::to_array<Column>({
    {.name = "address",
     .type = CellType::Address,
     .inServiceRows = true,
     .help = "virtual address and port that callers use"},
    {.name = "protocol",
     .type = CellType::Choice,
     .inServiceRows = true,
     .choices = "tcp|udp",
     .help = "transport"},
    {.name = "connection_limit",
     .unit = "flows",
     .inServiceRows = true,
     .min = 1,
     .max = maxLimit,
     .help = "open flows that a backend server takes"},
    {.name = "slot_limit",
     .unit = "requests",
     .inServiceRows = true,
     .min = 1,
     .max = maxLimit,
     .help = "requests that a backend server runs at once"},
    {.name = "state",
     .type = CellType::Choice,
     .inZoneRows = true,
     .choices = "in|out",
     .help = "zone takes flows"},
    {.name = "weight",
     .inZoneRows = true,
     .min = 0,
     .max = maxWeight,
     .help = "share of new flows relative to other zones"},
    {.name = "ramp_ms",
     .type = CellType::Time,
     .unit = "ms",
     .inServiceRows = true,
     .inZoneRows = true,
     .max = maxMilliseconds,
     .help = "from cold start or return to the full share"},
    {.name = "deadline_ms",
     .type = CellType::Time,
     .unit = "ms",
     .inServiceRows = true,
     .max = maxMilliseconds,
     .help = "default time limit of a request"},
    {.name = "drain_ms",
     .type = CellType::Time,
     .unit = "ms",
     .inServiceRows = true,
     .max = maxMilliseconds,
     .help = "longest wait for flows of a leaving server"},
    {.name = "availability_target",
     .type = CellType::Fraction,
     .inServiceRows = true,
     .help = "fraction of requests answered"},
    {.name = "latency_target_ms",
     .type = CellType::Time,
     .unit = "ms",
     .inServiceRows = true,
     .max = maxMilliseconds,
     .help = "99th percentile of answers"},
    {.name = "drain", .type = CellType::Flag, .inServerRows = true, .help = "server takes no new work"},
});

// True if the name may be part of a row's key.
bool isRowName(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), [](unsigned char c) {
        return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
    });
}

// True if `text` is one of `choices`, which are separated by '|'.
bool isChoice(std::string_view choices, std::string_view text)
{
    while (!choices.empty()) {
        const auto end = choices.find('|');
        if (choices.substr(0, end) == text) {
            return true;
        }
        choices = end == std::string_view::npos ? std::string_view() : choices.substr(end + 1);
    }
    return false;
}

template<typename Number>
bool parseNumber(std::string_view text, Number &out)
{
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), out);
    return error == std::errc{} && end == text.data() + text.size();
}

} // namespace

std::string_view toString(RowKind kind)
{
    switch (kind) {
    case RowKind::Service:
        return "service";
    case RowKind::Zone:
        return "zone";
    case RowKind::Server:
        return "server";
    }
    return "service";
}

bool parseRowKind(std::string_view text, RowKind &out)
{
    for (const auto kind : {RowKind::Service, RowKind::Zone, RowKind::Server}) {
        if (toString(kind) == text) {
            out = kind;
            return true;
        }
    }
    return false;
}

std::string toString(const RowKey &key)
{
    return fmt::format("{}/{}", toString(key.kind), key.name);
}

bool parseRowKey(std::string_view text, RowKey &out)
{
    const auto slash = text.find('/');
    RowKind kind = RowKind::Service;
    if (slash == std::string_view::npos || !parseRowKind(text.substr(0, slash), kind)) {
        return false;
    }
    const auto name = text.substr(slash + 1);
    if (!isRowName(name)) {
        return false;
    }
    out = {kind, std::string(name)};
    return true;
}

std::span<const Column> tableColumns()
{
    return columns;
}

const Column *findColumn(std::string_view name)
{
    const auto column
        = std::find_if(columns.begin(), columns.end(), [&](const Column &c) { return c.name == name; });
    return column == columns.end() ? nullptr : &*column;
}

bool hasColumn(RowKind kind, const Column &column)
{
    switch (kind) {
    case RowKind::Service:
        return column.inServiceRows;
    case RowKind::Zone:
        return column.inZoneRows;
    case RowKind::Server:
        return column.inServerRows;
    }
    return false;
}

std::string allowedText(const Column &column)
{
    switch (column.type) {
    case CellType::Address:
        return "ADDRESS:PORT";
    case CellType::Choice: {
        std::string text(column.choices);
        const auto bar = text.find('|');
        return bar == std::string::npos ? text : text.replace(bar, 1, " or ");
    }
    case CellType::Count:
        return fmt::format("{} to {}", column.min, column.max);
    case CellType::Time:
        return fmt::format("{} to {} milliseconds", column.min, column.max);
    case CellType::Fraction:
        return "0 to below 1";
    case CellType::Flag:
        return "true or false";
    }
    return {};
}

std::string columnNames(RowKind kind)
{
    std::string names;
    for (const auto &column : columns) {
        if (!hasColumn(kind, column)) {
            continue;
        }
        names += names.empty() ? "" : ", ";
        names += column.name;
    }
    return names;
}

TableRow defaultRow(const RowKey &key)
{
    TableRow row{.key = key};
    switch (key.kind) {
    case RowKind::Service:
        row.value = nlohmann::json::parse(encodeServiceRow({.name = key.name}));
        row.value.erase("address");
        break;
    case RowKind::Zone:
        row.value = nlohmann::json::parse(encodeZoneRow({.name = key.name}));
        break;
    case RowKind::Server:
        row.value = nlohmann::json::parse(encodeServerRow({.name = key.name}));
        break;
    }
    return row;
}

std::string cellText(const TableRow &row, const Column &column)
{
    const auto cell = row.value.find(column.name);
    if (!hasColumn(row.key.kind, column) || cell == row.value.end()) {
        return {};
    }
    return cell->is_string() ? cell->get<std::string>() : cell->dump();
}

std::optional<nlohmann::json> parseCell(const Column &column, std::string_view text)
{
    std::uint64_t count = 0;
    double fraction = 0;
    Endpoint endpoint;
    switch (column.type) {
    case CellType::Address:
        if (!parseEndpoint(text, endpoint)) {
            return std::nullopt;
        }
        return toString(endpoint);
    case CellType::Choice:
        if (!isChoice(column.choices, text)) {
            return std::nullopt;
        }
        return std::string(text);
    case CellType::Count:
    case CellType::Time:
        if (!parseNumber(text, count) || count < column.min || count > column.max) {
            return std::nullopt;
        }
        return count;
    case CellType::Fraction:
        if (!parseNumber(text, fraction) || !(fraction >= 0 && fraction < 1)) {
            return std::nullopt;
        }
        return fraction;
    case CellType::Flag:
        if (text != "true" && text != "false") {
            return std::nullopt;
        }
        return text == "true";
    }
    return std::nullopt;
}

std::optional<CellEdit> parseCellEdit(const RowKey &key, std::string_view text, std::string &problem)
{
    const auto separator = text.find('=');
    if (separator == std::string_view::npos) {
        problem = fmt::format("argument \"{}\" is not COLUMN=VALUE", text);
        return std::nullopt;
    }
    const auto name = text.substr(0, separator);
    const auto value = text.substr(separator + 1);
    const auto *const column = findColumn(name);
    if (column == nullptr || !hasColumn(key.kind, *column)) {
        problem = fmt::format("column \"{}\" does not exist in row \"{}\"; allowed: {}", name, toString(key),
                              columnNames(key.kind));
        return std::nullopt;
    }
    const auto cell = parseCell(*column, value);
    if (!cell) {
        problem = fmt::format("column \"{}\" of row \"{}\" does not allow \"{}\"; allowed: {}", name,
                              toString(key), value, allowedText(*column));
        return std::nullopt;
    }
    return CellEdit{std::string(name), cell->is_string() ? cell->get<std::string>() : cell->dump()};
}

MergedRow mergeEdits(const TableRow &base, const std::vector<CellEdit> &edits, const TableRow &current)
{
    MergedRow merged{.row = current};
    for (const auto &edit : edits) {
        const auto *const column = findColumn(edit.column);
        if (column == nullptr) {
            continue;
        }
        const auto before = cellText(base, *column);
        const auto now = cellText(current, *column);
        if (now == edit.value) {
            continue;
        }
        if (now != before) {
            merged.conflicts.push_back({edit.column, before, now, edit.value});
            continue;
        }
        merged.row.value[edit.column] = parseCell(*column, edit.value).value_or(nlohmann::json());
        merged.changes.push_back({edit.column, now, edit.value});
    }
    if (!merged.conflicts.empty()) {
        merged.row = current;
        merged.changes.clear();
    }
    return merged;
}

std::vector<CellChange> diffRows(const TableRow &before, const TableRow &after)
{
    std::vector<CellChange> changes;
    for (const auto &column : columns) {
        auto from = cellText(before, column);
        auto to = cellText(after, column);
        if (from != to) {
            changes.push_back({std::string(column.name), std::move(from), std::move(to)});
        }
    }
    return changes;
}

} // namespace oriolelever
