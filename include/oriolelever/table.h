/// The operators' table: one row per service, per availability zone and per server that has an operator's
/// order, with one cell per target.
#pragma once

#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include "oriolelever/codes.h"
#include "oriolelever/model.h"
#include "oriolelever/settings.h"

namespace oriolelever {

enum class RowKind { Service, Zone, Server };

/// Kind of the platform objects that store rows of `kind`, such as "service".
std::string_view toString(RowKind kind);
/// Parses "service", "zone" or "server"; false leaves `out` unchanged.
bool parseRowKind(std::string_view text, RowKind &out);

/// Kind and name of one row.
struct RowKey
{
    RowKind kind = RowKind::Service;
    std::string name;

    auto operator<=>(const RowKey &) const = default;
};

/// Formats a key as KIND/NAME, such as "zone/bergamo".
std::string toString(const RowKey &key);
/// Parses KIND/NAME; false leaves `out` unchanged.
bool parseRowKey(std::string_view text, RowKey &out);

enum class CellType { Address, Choice, Count, Time, Fraction, Flag };

/// One column of the table and the kinds of rows that have it.
struct Column
{
    std::string_view name;
    CellType type = CellType::Count;
    std::string_view unit; ///< Unit of the cells for output; empty if they have none.
    bool inServiceRows = false;
    bool inZoneRows = false;
    bool inServerRows = false;
    std::uint64_t min = 0; ///< Smallest value of `Count` and `Time` cells.
    std::uint64_t max = 0; ///< Largest value of `Count` and `Time` cells.
    std::string_view choices; ///< Values of `Choice` cells, separated by '|'.
    std::string_view help;
};

/// All columns, in the order of output.
std::span<const Column> tableColumns();
/// The column of this name, or null if there is none.
const Column *findColumn(std::string_view name);
/// True if rows of `kind` have the column.
bool hasColumn(RowKind kind, const Column &column);
/// Describes the allowed values of the column for error messages, such as "0 to 1000".
std::string allowedText(const Column &column);
/// Names of the columns that rows of `kind` have, separated by commas.
std::string columnNames(RowKind kind);

/// One row as the platform stores it; `value` is the JSON of `ServiceRow`, `ZoneRow` or `ServerRow`.
struct TableRow
{
    RowKey key;
    std::uint64_t version = 0; ///< Version of the platform's object; 0 if it does not exist yet.
    nlohmann::json value;
};

/// A new row of version 0 that holds the default of every cell that has one.
TableRow defaultRow(const RowKey &key);

/// Formats a cell; empty if the row has no such cell.
std::string cellText(const TableRow &row, const Column &column);
/// Parses the text of a cell to its JSON value; nothing if the column does not allow it.
std::optional<nlohmann::json> parseCell(const Column &column, std::string_view text);

/// The value that an operator wants in one cell.
struct CellEdit
{
    std::string column;
    std::string value; ///< As `cellText` formats it.

    bool operator==(const CellEdit &) const = default;
};

/// An operator's changes of one row.
struct RowEdit
{
    RowKey key;
    std::optional<std::uint64_t> expectedVersion; ///< Version that the row must have.
    std::vector<CellEdit> cells; ///< Values to write.
    std::vector<CellEdit> requiredCells; ///< Values on which the edit is based; set by an undo.
};

/// Parses COLUMN=VALUE, such as "weight=40", for the row `key`. On failure `problem` names the column and
/// what it allows.
std::optional<CellEdit> parseCellEdit(const RowKey &key, std::string_view text, std::string &problem);

/// Old and new value of a changed cell, as `cellText` formats them.
struct CellChange
{
    std::string column;
    std::string from;
    std::string to;

    bool operator==(const CellChange &) const = default;
};

/// A cell that another operator changed to a value other than the wanted one.
struct CellConflict
{
    std::string column;
    std::string base; ///< Value on which this operator's edit is based.
    std::string currentValue; ///< Value that the other operator wrote.
    std::string wantedValue; ///< Value that this operator wants.

    bool operator==(const CellConflict &) const = default;
};

/// Result of merging edits into the current row.
struct MergedRow
{
    TableRow row;
    std::vector<CellChange> changes; ///< Changes of the current row; empty if there are conflicts.
    std::vector<CellConflict> conflicts; ///< If not empty, `row` is the unchanged current row.
};

/// Applies `edits`, which are based on the row `base`, to the row `current`. A cell that has the same value
/// in both rows is replaced. A cell that differs between them is a conflict unless it has the wanted value
/// already.
MergedRow mergeEdits(const TableRow &base, const std::vector<CellEdit> &edits, const TableRow &current);

/// Lists the cells that differ between two versions of a row.
std::vector<CellChange> diffRows(const TableRow &before, const TableRow &after);

/// One measured value that is shown beside the targets of a row.
struct MeasuredCell
{
    std::string name;
    std::string value;
};

/// Measured values by row.
using Measured = std::map<RowKey, std::vector<MeasuredCell>>;

/// Formats rows as CSV (RFC 4180) with the fields kind, name, version and every column; a cell that a row
/// lacks is empty.
std::string tableCsv(std::span<const TableRow> rows);
/// Formats rows as a JSON array; measured values are in the member "measured" of a row.
std::string tableJson(std::span<const TableRow> rows, const Measured &measured);
/// Formats rows as text, one cell or measured value a line.
std::string tableText(std::span<const TableRow> rows, const Measured &measured);

/// Parses the text of a CSV or JSON file to edits; an empty cell keeps its present value. `file` is the name
/// for error messages. Appends every problem to `problems`; the edits are valid only if none was appended.
std::vector<RowEdit> parseTableCsv(const std::string &file, std::string_view text,
                                   std::vector<Problem> &problems);
std::vector<RowEdit> parseTableJson(const std::string &file, std::string_view text,
                                    std::vector<Problem> &problems);

/// True if the name ends in ".csv" or ".json".
bool isTableFile(std::string_view file);
/// Reads a table file, JSON if its name ends in ".json", otherwise CSV.
std::vector<RowEdit> readTableFile(const std::string &file, std::vector<Problem> &problems);

/// Formats one CSV record: quotes fields where needed and appends a line feed.
std::string csvLine(const std::vector<std::string> &fields);

/// One record of a CSV file.
struct CsvRecord
{
    int line = 0; ///< Line at which the record starts, from 1.
    std::vector<std::string> fields; ///< Without their quotes.
};

/// Splits CSV text into records; false if a quote is not closed, in which case `records` holds the records up
/// to the end of the text.
bool parseCsv(std::string_view text, std::vector<CsvRecord> &records);

} // namespace oriolelever
