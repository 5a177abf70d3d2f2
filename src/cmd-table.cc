#include "oriolelever/commands.h"

#include <algorithm>
#include <fstream>
#include <sstream>

#include <absl/flags/flag.h>
#include <fmt/chrono.h>
#include <fmt/format.h>

#include "oriolelever/flags.h"
#include "oriolelever/levels.h"
#include "oriolelever/operator.h"

namespace oriolelever {

namespace {

constexpr std::chrono::milliseconds statusTimeout{2000};

// A change from the history of a row, and whether the row was written with it.
struct RecordedChange
{
    RowKey row;
    HistoryEntry entry;
    EntryState state = EntryState::Unknown;
};

// Prints an error and returns false if the format does not exist.
bool checkFormat(const std::string &format)
{
    if (format == "text" || format == "csv" || format == "json") {
        return true;
    }
    usageError(fmt::format("flag \"--format\" does not allow \"{}\"; allowed: text, csv or json", format));
    return false;
}

std::string render(const std::string &format, const std::vector<TableRow> &rows, const Measured &measured)
{
    if (format == "csv") {
        return tableCsv(rows);
    }
    return format == "json" ? tableJson(rows, measured) : tableText(rows, measured);
}

int showTable(Operator &session)
{
    const auto format = absl::GetFlag(FLAGS_format);
    if (!checkFormat(format)) {
        return exitUsage;
    }
    const auto rows = session.readRows();
    if (!rows) {
        return reportError(rows.error());
    }
    std::vector<nlohmann::json> statuses;
    for (auto &process : readStatuses(session.settings(), statusTimeout)) {
        statuses.push_back(std::move(process.status));
    }
    const auto now
        = std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
    fmt::print("{}", render(format, rows.value(), measureRows(statuses, now)));
    if (format == "text") {
        fmt::print("rows: {}\n", rows.value().size());
    }
    return exitOk;
}

int exportTable(Operator &session, const std::string &file)
{
    const auto rows = session.readRows();
    if (!rows) {
        return reportError(rows.error());
    }
    std::ofstream out(file);
    out << (file.ends_with(".json") ? tableJson(rows.value(), {}) : tableCsv(rows.value()));
    out.close();
    if (!out) {
        return reportError({Code::FileUnreadable, fmt::format("file \"{}\" cannot be written", file)});
    }
    fmt::print("rows: {}\nfile: {}\n", rows.value().size(), file);
    return exitOk;
}

int importTable(const std::string &file)
{
    std::vector<Problem> problems;
    const auto edits = readTableFile(file, problems);
    for (const auto &problem : problems) {
        usageError(toString(problem));
    }
    return problems.empty() ? runEdits(edits, true) : exitUsage;
}

Answer<std::vector<RecordedChange>> readHistory(Operator &session)
{
    const auto list = session.wait<ObjectList>(
        [&](Done<ObjectList> done) { session.api().list("history", std::move(done)); });
    if (!list) {
        return list.error();
    }
    std::vector<RecordedChange> changes;
    for (const auto &object : list.value().objects) {
        RowKey row;
        if (!parseHistoryName(object.name, row)) {
            continue;
        }
        const auto stored = session.wait<Object>([&](Done<Object> done) {
            session.api().read(std::string(toString(row.kind)), row.name, std::move(done));
        });
        for (auto &entry : decodeHistory(row, object.value).entries) {
            const auto state = entryState(entry, stored ? stored.value() : Object{});
            changes.push_back({row, std::move(entry), state});
        }
    }
    std::stable_sort(changes.begin(), changes.end(),
                     [](const auto &a, const auto &b) { return a.entry.time < b.entry.time; });
    return changes;
}

std::string stateText(EntryState state)
{
    switch (state) {
    case EntryState::Applied:
        return "applied";
    case EntryState::NotApplied:
        return "not applied";
    case EntryState::Unknown:
        return "unknown";
    }
    return {};
}

int showHistory(Operator &session, Arguments arguments)
{
    const auto changes = readHistory(session);
    if (!changes) {
        return reportError(changes.error());
    }
    std::size_t shown = 0;
    for (const auto &change : changes.value()) {
        if (!arguments.empty() && toString(change.row) != arguments.front()) {
            continue;
        }
        ++shown;
        const auto &entry = change.entry;
        fmt::print("{:%Y-%m-%dT%H:%M:%SZ} {} {} version {} {}",
                   fmt::gmtime(std::chrono::system_clock::to_time_t(
                       std::chrono::system_clock::time_point(entry.time))),
                   entry.author, toString(change.row), entry.version, stateText(change.state));
        for (const auto &cell : entry.cells) {
            fmt::print(" {}: \"{}\" -> \"{}\"", cell.column, cell.from, cell.to);
        }
        fmt::print("\n");
    }
    fmt::print("changes: {}\n", shown);
    return exitOk;
}

// Undoes the latest applied change, of the named row if one is given.
int undoLatestChange(Arguments arguments)
{
    const auto settings = operatorSettings();
    if (!settings) {
        return exitUsage;
    }
    Operator session(*settings);
    const auto changes = readHistory(session);
    if (!changes) {
        return reportError(changes.error());
    }
    const RecordedChange *latest = nullptr;
    for (const auto &change : changes.value()) {
        const bool isSelected = arguments.empty() || toString(change.row) == arguments.front();
        if (isSelected && change.state == EntryState::Applied) {
            latest = &change;
        }
    }
    if (latest == nullptr) {
        return reportError({Code::NotFound, "no recorded change to undo"});
    }
    return handleError(
        [&]() -> Result<int> {
            BOOST_LEAF_AUTO(edit, makeUndoEdit(latest->row, latest->entry));
            return runEdits({edit}, false);
        },
        reportError);
}

int runTable(Arguments arguments)
{
    const std::string action = arguments.empty() ? "show" : arguments[0];
    const auto rest = arguments.empty() ? arguments : arguments.subspan(1);
    const bool needsFile = action == "export" || action == "import";
    const bool hasOptionalRow = action == "history" || action == "undo";
    if (!needsFile && !hasOptionalRow && action != "show") {
        return usageError(fmt::format(
            "argument \"{}\" is not allowed; allowed: show, export, import, history or undo", action));
    }
    if ((needsFile && rest.size() != 1) || (hasOptionalRow && rest.size() > 1)
        || (action == "show" && !rest.empty())) {
        return usageError(
            fmt::format("table {} needs {}", action, needsFile ? "one FILE" : "no further argument"));
    }
    if (action == "import") {
        return importTable(rest[0]);
    }
    if (action == "undo") {
        return undoLatestChange(rest);
    }
    const auto settings = operatorSettings();
    if (!settings) {
        return exitUsage;
    }
    Operator session(*settings);
    if (action == "export") {
        return exportTable(session, rest[0]);
    }
    return action == "history" ? showHistory(session, rest) : showTable(session);
}

} // namespace

Command tableCommand()
{
    return {.name = "table",
            .usage = "[show|export FILE|import FILE|history [ROW]|undo [ROW]]",
            .summary = "Shows, exports and imports the table, lists and undoes changes.",
            .flags = {"config", "format", "wait", "timeout"},
            .run = runTable};
}

} // namespace oriolelever
