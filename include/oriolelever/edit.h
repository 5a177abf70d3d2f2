/// Edits of the table by operators: conditional updates, conflict detection, history and undo.
#pragma once

#include <chrono>
#include <string>
#include <vector>

#include "oriolelever/platform.h"
#include "oriolelever/table.h"

namespace oriolelever {

/// Wall-clock time in milliseconds since 1970-01-01 UTC.
using WallTime = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

/// One change of a row in its history.
struct HistoryEntry
{
    std::string change; ///< Identifier of the write, as in `Object::changes`.
    std::string author; ///< Name of the operator.
    WallTime time{}; ///< When the edit began.
    std::uint64_t base = 0; ///< Version that the change replaced; 0 if the change created the row.
    std::uint64_t version = 0; ///< Version that the change produced; 0 until the write is confirmed.
    std::vector<CellChange> cells;
};

/// The latest changes of one row, stored by the platform as object `history/KIND.NAME`.
struct History
{
    RowKey row;
    std::vector<HistoryEntry> entries; ///< Oldest first.
};

constexpr std::size_t maxHistoryEntries = 100; ///< Per row; older ones are dropped.

nlohmann::json encodeHistory(const History &history);
/// Decodes the value of a history object; skips malformed entries.
History decodeHistory(const RowKey &row, const nlohmann::json &json);
/// Name of the object that holds the history of `row`.
std::string historyName(const RowKey &row);
/// Parses the result of `historyName`; false leaves `out` unchanged.
bool parseHistoryName(std::string_view name, RowKey &out);

/// Whether the change of a history entry took effect.
enum class EntryState {
    Applied,
    NotApplied, ///< The row is still at the version that the change would have replaced.
    Unknown, ///< The row has a later version, and its limited list of changes lacks this one.
};

/// Determines the state of a history entry from the stored row.
EntryState entryState(const HistoryEntry &entry, const Object &row);

struct EditOptions
{
    std::string author; ///< Operator's name for the history.
    WallTime time{}; ///< Time for the history.
    bool create = false; ///< Creates a row that does not exist.
    int attempts = 5; ///< Maximum number of writes after conflicts and of reads after lost answers.
};

/// Result of a successful edit.
struct EditOutcome
{
    RowKey key;
    std::uint64_t version = 0; ///< Version of the row after the edit.
    std::vector<CellChange> changes; ///< Empty if every cell had the wanted value already.
};

/// Applies an edit by conditional update. Concurrent edits of different cells are merged; of the same cell,
/// one fails with `PlatformConflict` and an error text that gives both values. The history entry is written
/// before the row, so that no change lacks an entry. `api` must outlive the call.
void applyEdit(ObjectApi &api, RowEdit edit, EditOptions options, Done<EditOutcome> done);

/// Creates the edit that restores the values before `entry`. Fails if `entry` created the row or one of its
/// cells had no value before.
Result<RowEdit> makeUndoEdit(const RowKey &row, const HistoryEntry &entry);

/// Converts a platform object to a row; `object.kind` must be that of a `RowKind`.
TableRow rowFromObject(const Object &object);

} // namespace oriolelever
