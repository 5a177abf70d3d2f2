#include "oriolelever/edit.h"

#include <algorithm>

#include <fmt/format.h>

namespace oriolelever {

namespace {

using Json = nlohmann::json;

constexpr const char *historyKind = "history";
constexpr int historyAttempts = 20; ///< Concurrent operators write the same history up to three times each.

Json encodeCells(const std::vector<CellChange> &cells)
{
    Json json = Json::array();
    for (const auto &cell : cells) {
        json.push_back({{"column", cell.column}, {"from", cell.from}, {"to", cell.to}});
    }
    return json;
}

std::string conflictText(const RowKey &key, std::uint64_t version, const std::vector<CellConflict> &conflicts)
{
    std::string text = fmt::format("row \"{}\" changed, now at version {}", toString(key), version);
    for (const auto &conflict : conflicts) {
        text += fmt::format("; column \"{}\" was \"{}\", is now \"{}\", you asked for \"{}\"",
                            conflict.column, conflict.base, conflict.currentValue, conflict.wantedValue);
    }
    return text;
}

// Performs one edit: reads the row, merges the cells, writes a history entry, writes the row and adds its new
// version to the entry.
class Editor : public std::enable_shared_from_this<Editor>
{
public:
    Editor(ObjectApi &api, RowEdit edit, EditOptions options, Done<EditOutcome> done)
        : m_api(api)
        , m_edit(std::move(edit))
        , m_options(std::move(options))
        , m_done(std::move(done))
        , m_kind(toString(m_edit.key.kind))
        , m_changeId(newChangeId())
        , m_attemptsLeft(m_options.attempts)
    {
    }

    void readRow()
    {
        m_api.read(m_kind, m_edit.key.name,
                   [self = shared_from_this()](const Answer<Object> &answer) { self->handleRow(answer); });
    }

private:
    void handleRow(const Answer<Object> &answer)
    {
        if (answer) {
            m_storedRow = answer.value();
        } else if (answer.error().code == Code::NotFound && m_options.create) {
            const auto newRow = defaultRow(m_edit.key);
            m_storedRow = {.kind = m_kind, .name = m_edit.key.name, .value = newRow.value};
        } else {
            m_done(answer.error());
            return;
        }
        const auto current = rowFromObject(m_storedRow);
        if (!m_baseRow) {
            m_baseRow = current;
            // With its required values in the base row, an undo conflicts with cells that have changed since.
            for (const auto &cell : m_edit.requiredCells) {
                m_baseRow->value[cell.column]
                    = parseCell(*findColumn(cell.column), cell.value).value_or(Json());
            }
            if (m_edit.expectedVersion && *m_edit.expectedVersion != current.version) {
                failVersionMismatch(current);
                return;
            }
        }
        m_merged = mergeEdits(*m_baseRow, m_edit.cells, current);
        if (!m_merged.conflicts.empty()) {
            finishWithoutChange(
                Error{Code::PlatformConflict, conflictText(m_edit.key, current.version, m_merged.conflicts)});
        } else if (m_merged.changes.empty() && current.version != 0) {
            finishWithoutChange(EditOutcome{m_edit.key, current.version, {}});
        } else {
            validate();
        }
    }

    // Reports that the row does not have the expected version.
    void failVersionMismatch(const TableRow &current)
    {
        std::string text = fmt::format("row \"{}\" is at version {}, expected {}", toString(m_edit.key),
                                       current.version, *m_edit.expectedVersion);
        for (const auto &cell : m_edit.cells) {
            text += fmt::format("; column \"{}\" is now \"{}\", you asked for \"{}\"", cell.column,
                                cellText(current, *findColumn(cell.column)), cell.value);
        }
        m_done(Error{Code::PlatformConflict, text});
    }

    // Rejects a row that balancers and agents could not decode.
    void validate()
    {
        const auto text = m_merged.row.value.dump();
        const auto error = handleError(
            [&]() -> Result<Error> {
                switch (m_edit.key.kind) {
                case RowKind::Service:
                    BOOST_LEAF_CHECK(decodeServiceRow(text));
                    break;
                case RowKind::Zone:
                    BOOST_LEAF_CHECK(decodeZoneRow(text));
                    break;
                case RowKind::Server:
                    BOOST_LEAF_CHECK(decodeServerRow(text));
                    break;
                }
                return Error{Code::Ok, {}};
            },
            [](const Error &found) { return found; });
        if (error.code != Code::Ok) {
            m_done(Error{error.code, fmt::format("row \"{}\": {}", toString(m_edit.key), error.text)});
            return;
        }
        recordChange([this] { writeRow(); });
    }

    // Writes the history entry of this edit, which replaces that of an earlier attempt; calls `next` after
    // success.
    void recordChange(std::function<void()> next)
    {
        updateHistory(
            [this](History &history) {
                removeOwnEntry(history);
                history.entries.push_back({.change = m_changeId,
                                           .author = m_options.author,
                                           .time = m_options.time,
                                           .base = m_storedRow.version,
                                           .cells = m_merged.changes});
            },
            historyAttempts,
            [self = shared_from_this(), next](const Error &error) {
                if (error.code != Code::Ok) {
                    self->m_done(Error{error.code, "the change was not made: " + error.text});
                    return;
                }
                self->m_isRecorded = true;
                next();
            });
    }

    void writeRow()
    {
        Object object = m_storedRow;
        object.value = m_merged.row.value;
        writeResolved(
            m_api, object, m_changeId, m_options.attempts,
            [self = shared_from_this()](const Answer<Object> &answer) { self->handleWriteAnswer(answer); });
    }

    void handleWriteAnswer(const Answer<Object> &answer)
    {
        if (!answer) {
            const bool canRetry = answer.error().code == Code::PlatformConflict && --m_attemptsLeft > 0;
            if (canRetry) {
                readRow();
                return;
            }
            if (answer.error().code == Code::PlatformOutcomeUnknown) {
                m_done(answer.error());
                return;
            }
            finishWithoutChange(answer.error());
            return;
        }
        // If the answer was lost and another write followed, this is the version of the later write.
        const auto written = answer.value().version;
        updateHistory(
            [this, written](History &history) {
                for (auto &entry : history.entries) {
                    if (entry.change == m_changeId) {
                        entry.version = written;
                    }
                }
            },
            historyAttempts,
            [self = shared_from_this(), written](const Error &) {
                // A failure is ignored: `entryState` finds the change in the row's list of changes.
                self->m_done(EditOutcome{self->m_edit.key, written, self->m_merged.changes});
            });
    }

    // Removes the history entry of an edit that did not change the row, then reports `outcome`.
    void finishWithoutChange(Answer<EditOutcome> outcome)
    {
        if (!m_isRecorded) {
            m_done(outcome);
            return;
        }
        updateHistory([this](History &history) { removeOwnEntry(history); }, historyAttempts,
                      [self = shared_from_this(), outcome](const Error &) { self->m_done(outcome); });
    }

    void removeOwnEntry(History &history)
    {
        std::erase_if(history.entries, [&](const HistoryEntry &entry) { return entry.change == m_changeId; });
    }

    // Reads the history, applies `change` and writes it; retries after a conflict, `attempts` times in total.
    void updateHistory(std::function<void(History &)> change, int attempts,
                       std::function<void(const Error &)> next)
    {
        m_api.read(historyKind, historyName(m_edit.key),
                   [self = shared_from_this(), change, attempts, next](const Answer<Object> &answer) {
                       self->writeHistory(answer, change, attempts, next);
                   });
    }

    void writeHistory(const Answer<Object> &answer, const std::function<void(History &)> &change,
                      int attempts, const std::function<void(const Error &)> &next)
    {
        Object object{.kind = historyKind, .name = historyName(m_edit.key)};
        if (answer) {
            object = answer.value();
        } else if (answer.error().code != Code::NotFound) {
            next(answer.error());
            return;
        }
        auto history = decodeHistory(m_edit.key, object.value);
        change(history);
        if (history.entries.size() > maxHistoryEntries) {
            history.entries.erase(history.entries.begin(), history.entries.end() - maxHistoryEntries);
        }
        object.value = encodeHistory(history);
        writeResolved(m_api, object, attempts,
                      [self = shared_from_this(), change, attempts, next](const Answer<Object> &written) {
                          const bool isConflict = !written && written.error().code == Code::PlatformConflict;
                          if (isConflict && attempts > 1) {
                              self->updateHistory(change, attempts - 1, next);
                              return;
                          }
                          next(written ? Error{Code::Ok, {}} : written.error());
                      });
    }

    ObjectApi &m_api;
    RowEdit m_edit;
    EditOptions m_options;
    Done<EditOutcome> m_done;
    std::string m_kind;
    std::string m_changeId;
    int m_attemptsLeft = 0; ///< Remaining writes of the row; a conflict uses up one.
    Object m_storedRow; ///< The row as last read.
    std::optional<TableRow> m_baseRow; ///< Basis of the operator's edit; set by the first read.
    MergedRow m_merged;
    bool m_isRecorded = false; ///< The history holds an entry of this edit.
};

} // namespace

nlohmann::json encodeHistory(const History &history)
{
    Json entries = Json::array();
    for (const auto &entry : history.entries) {
        entries.push_back({{"change", entry.change},
                           {"who", entry.author},
                           {"when_ms", entry.time.time_since_epoch().count()},
                           {"base", entry.base},
                           {"version", entry.version},
                           {"cells", encodeCells(entry.cells)}});
    }
    return {{"entries", entries}};
}

History decodeHistory(const RowKey &row, const nlohmann::json &json)
{
    History history{.row = row};
    if (!json.is_object() || !json.contains("entries")) {
        return history;
    }
    for (const auto &item : json["entries"]) {
        try {
            HistoryEntry entry{.change = item.at("change"),
                               .author = item.at("who"),
                               .time = WallTime(std::chrono::milliseconds(item.at("when_ms"))),
                               .base = item.at("base"),
                               .version = item.at("version")};
            for (const auto &cell : item.at("cells")) {
                entry.cells.push_back({cell.at("column"), cell.at("from"), cell.at("to")});
            }
            history.entries.push_back(std::move(entry));
        } catch (const Json::exception &) {
            continue;
        }
    }
    return history;
}

std::string historyName(const RowKey &row)
{
    return fmt::format("{}.{}", toString(row.kind), row.name);
}

bool parseHistoryName(std::string_view name, RowKey &out)
{
    std::string key(name);
    const auto dot = key.find('.');
    if (dot == std::string::npos) {
        return false;
    }
    key[dot] = '/';
    return parseRowKey(key, out);
}

EntryState entryState(const HistoryEntry &entry, const Object &row)
{
    const bool isListed
        = std::find(row.changes.begin(), row.changes.end(), entry.change) != row.changes.end();
    if (entry.version != 0 || isListed) {
        return EntryState::Applied;
    }
    return row.version <= entry.base ? EntryState::NotApplied : EntryState::Unknown;
}

void applyEdit(ObjectApi &api, RowEdit edit, EditOptions options, Done<EditOutcome> done)
{
    std::make_shared<Editor>(api, std::move(edit), std::move(options), std::move(done))->readRow();
}

Result<RowEdit> makeUndoEdit(const RowKey &row, const HistoryEntry &entry)
{
    if (entry.base == 0) {
        return fail(
            Code::UsageInvalid,
            fmt::format("version {} created row \"{}\" and cannot be undone", entry.version, toString(row)));
    }
    RowEdit edit{.key = row};
    for (const auto &cell : entry.cells) {
        if (cell.from.empty()) {
            return fail(Code::UsageInvalid,
                        fmt::format("column \"{}\" of row \"{}\" had no value before version {}", cell.column,
                                    toString(row), entry.version));
        }
        edit.cells.push_back({cell.column, cell.from});
        edit.requiredCells.push_back({cell.column, cell.to});
    }
    return edit;
}

TableRow rowFromObject(const Object &object)
{
    TableRow row{.version = object.version, .value = object.value};
    parseRowKind(object.kind, row.key.kind);
    row.key.name = object.name;
    return row;
}

} // namespace oriolelever
