#include "oriolelever/edit.h"

#include <algorithm>

#include <fmt/format.h>

namespace oriolelever {

namespace {

using Json = nlohmann::json;

constexpr const char *historyKind = "history";
constexpr int historyAttempts = 20; ///< Every racing operator writes the same history up to three times.

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
                            conflict.column, conflict.base, conflict.theirs, conflict.ours);
    }
    return text;
}

// Carries out one edit: read, merge, record, write, complete the record.
class Editor : public std::enable_shared_from_this<Editor>
{
public:
    Editor(ObjectApi &api, RowEdit edit, EditOptions options, Done<EditOutcome> done)
        : m_api(api)
        , m_edit(std::move(edit))
        , m_options(std::move(options))
        , m_done(std::move(done))
        , m_kind(toString(m_edit.key.kind))
        , m_change(newChangeId())
        , m_attempts(m_options.attempts)
    {
    }

    void readRow()
    {
        m_api.read(m_kind, m_edit.key.name,
                   [self = shared_from_this()](const Answer<Object> &answer) { self->takeRow(answer); });
    }

private:
    void takeRow(const Answer<Object> &answer)
    {
        if (answer) {
            m_stored = answer.value();
        } else if (answer.error().code == Code::NotFound && m_options.create) {
            const auto fresh = defaultRow(m_edit.key);
            m_stored = {.kind = m_kind, .name = m_edit.key.name, .value = fresh.value};
        } else {
            m_done(answer.error());
            return;
        }
        const auto current = rowOf(m_stored);
        if (!m_base) {
            m_base = current;
            for (const auto &cell : m_edit.seen) {
                m_base->value[cell.column] = parseCell(*findColumn(cell.column), cell.value).value_or(Json());
            }
            if (m_edit.expect && *m_edit.expect != current.version) {
                failExpectation(current);
                return;
            }
        }
        m_merged = mergeEdits(*m_base, m_edit.cells, current);
        if (!m_merged.conflicts.empty()) {
            withdraw(
                Error{Code::PlatformConflict, conflictText(m_edit.key, current.version, m_merged.conflicts)});
        } else if (m_merged.changes.empty() && current.version != 0) {
            withdraw(EditOutcome{m_edit.key, current.version, {}});
        } else {
            validate();
        }
    }

    void failExpectation(const TableRow &current)
    {
        std::string text = fmt::format("row \"{}\" is at version {}, expected {}", toString(m_edit.key),
                                       current.version, *m_edit.expect);
        for (const auto &cell : m_edit.cells) {
            text += fmt::format("; column \"{}\" is now \"{}\", you asked for \"{}\"", cell.column,
                                cellText(current, *findColumn(cell.column)), cell.value);
        }
        m_done(Error{Code::PlatformConflict, text});
    }

    // Refuses what the processes could not put in force.
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
                    BOOST_LEAF_CHECK(decodeServerOrder(text));
                    break;
                }
                return Error{Code::Ok, {}};
            },
            [](const Error &found) { return found; });
        if (error.code != Code::Ok) {
            m_done(Error{error.code, fmt::format("row \"{}\": {}", toString(m_edit.key), error.text)});
            return;
        }
        record([this] { writeRow(); });
    }

    // Puts the entry of this edit into the history, replacing an earlier attempt's; `next` runs after
    // success.
    void record(std::function<void()> next)
    {
        changeHistory(
            [this](History &history) {
                dropOwn(history);
                history.entries.push_back({.change = m_change,
                                           .who = m_options.who,
                                           .when = m_options.when,
                                           .base = m_stored.version,
                                           .cells = m_merged.changes});
            },
            historyAttempts,
            [self = shared_from_this(), next](const Error &error) {
                if (error.code != Code::Ok) {
                    self->m_done(Error{error.code, "the change was not made: " + error.text});
                    return;
                }
                self->m_recorded = true;
                next();
            });
    }

    void writeRow()
    {
        Object object = m_stored;
        object.value = m_merged.row.value;
        writeResolved(
            m_api, object, m_change, m_options.attempts,
            [self = shared_from_this()](const Answer<Object> &answer) { self->takeWritten(answer); });
    }

    void takeWritten(const Answer<Object> &answer)
    {
        if (!answer) {
            const bool again = answer.error().code == Code::PlatformConflict && --m_attempts > 0;
            if (again) {
                readRow();
                return;
            }
            if (answer.error().code == Code::PlatformOutcomeUnknown) {
                m_done(answer.error());
                return;
            }
            withdraw(answer.error());
            return;
        }
        // If a later write is already on top of this one, its version stands for both.
        const auto written = answer.value().version;
        changeHistory(
            [this, written](History &history) {
                for (auto &entry : history.entries) {
                    if (entry.change == m_change) {
                        entry.version = written;
                    }
                }
            },
            historyAttempts,
            [self = shared_from_this(), written](const Error &) {
                // The record exists; its version is found by the row's list of changes.
                self->m_done(EditOutcome{self->m_edit.key, written, self->m_merged.changes});
            });
    }

    // Removes the record of an edit that made no change, then answers.
    void withdraw(Answer<EditOutcome> outcome)
    {
        if (!m_recorded) {
            m_done(outcome);
            return;
        }
        changeHistory([this](History &history) { dropOwn(history); }, historyAttempts,
                      [self = shared_from_this(), outcome](const Error &) { self->m_done(outcome); });
    }

    void dropOwn(History &history)
    {
        std::erase_if(history.entries, [&](const HistoryEntry &entry) { return entry.change == m_change; });
    }

    void changeHistory(std::function<void(History &)> change, int attempts,
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
                          const bool raced = !written && written.error().code == Code::PlatformConflict;
                          if (raced && attempts > 1) {
                              self->changeHistory(change, attempts - 1, next);
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
    std::string m_change;
    int m_attempts = 0;
    Object m_stored;
    std::optional<TableRow> m_base; ///< What the operator's edit was made on.
    MergedRow m_merged;
    bool m_recorded = false;
};

} // namespace

nlohmann::json encodeHistory(const History &history)
{
    Json entries = Json::array();
    for (const auto &entry : history.entries) {
        entries.push_back({{"change", entry.change},
                           {"who", entry.who},
                           {"when_ms", entry.when.time_since_epoch().count()},
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
                               .who = item.at("who"),
                               .when = WallTime(std::chrono::milliseconds(item.at("when_ms"))),
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
    const bool listed = std::find(row.changes.begin(), row.changes.end(), entry.change) != row.changes.end();
    if (entry.version != 0 || listed) {
        return EntryState::Applied;
    }
    return row.version <= entry.base ? EntryState::NotApplied : EntryState::Unknown;
}

void applyEdit(ObjectApi &api, RowEdit edit, EditOptions options, Done<EditOutcome> done)
{
    std::make_shared<Editor>(api, std::move(edit), std::move(options), std::move(done))->readRow();
}

Result<RowEdit> undoOf(const RowKey &row, const HistoryEntry &entry)
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
        edit.seen.push_back({cell.column, cell.to});
    }
    return edit;
}

TableRow rowOf(const Object &object)
{
    TableRow row{.version = object.version, .value = object.value};
    parseRowKind(object.kind, row.key.kind);
    row.key.name = object.name;
    return row;
}

} // namespace oriolelever
