/// Operators' changes of the table: conditional updates with a history, conflicts and undo.
#pragma once

#include <chrono>
#include <string>
#include <vector>

#include "oriolelever/platform.h"
#include "oriolelever/table.h"

namespace oriolelever {

/// Wall-clock time, milliseconds since 1970.
using WallTime = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

/// One recorded change of a row.
struct HistoryEntry
{
    std::string change; ///< Identifier of the write.
    std::string who;
    WallTime when{};
    std::uint64_t base = 0; ///< Version that the change was made on; 0 created the row.
    std::uint64_t version = 0; ///< Version that the change made; 0 until it is known.
    std::vector<CellChange> cells;
};

/// Latest changes of one row, oldest first; the platform keeps it as object `history/KIND.NAME`.
struct History
{
    RowKey row;
    std::vector<HistoryEntry> entries;
};

constexpr std::size_t maxHistoryEntries = 100; ///< Of one row.

nlohmann::json encodeHistory(const History &history);
/// Skips what it cannot read.
History decodeHistory(const RowKey &row, const nlohmann::json &json);
/// Name of the object that holds the history of `row`.
std::string historyName(const RowKey &row);
bool parseHistoryName(std::string_view name, RowKey &out);

enum class EntryState {
    Applied,
    NotApplied, ///< The row is still at the version that the change was made on.
    Unknown, ///< Written under an identifier that the row no longer lists.
};

/// Tells from the row as stored whether a recorded change took effect.
EntryState entryState(const HistoryEntry &entry, const Object &row);

struct EditOptions
{
    std::string who;
    WallTime when{};
    bool create = false; ///< Creates a row that does not exist.
    int attempts = 5; ///< Limit of conflicts and lost answers that are resolved.
};

/// What came of an edit.
struct EditOutcome
{
    RowKey key;
    std::uint64_t version = 0;
    std::vector<CellChange> changes; ///< Empty if every cell had the wanted value.
};

/// Applies an edit by conditional update. Racing edits of other cells are merged; one of the same cell fails
/// with `PlatformConflict`, and the text shows both values. The change is recorded before it is made, so that
/// no change lacks a record. `api` must outlive the call.
void applyEdit(ObjectApi &api, RowEdit edit, EditOptions options, Done<EditOutcome> done);

/// The edit that takes back `entry`: fails if it created the row.
Result<RowEdit> undoOf(const RowKey &row, const HistoryEntry &entry);

/// The row of an object; `object.kind` must be a row kind.
TableRow rowOf(const Object &object);

} // namespace oriolelever
