/// The operators' table: a row per service, availability zone and ordered server, a cell per target.
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

/// Kind of the platform's objects that hold rows of `kind`, such as "service".
std::string_view toString(RowKind kind);
bool parseRowKind(std::string_view text, RowKind &out);

/// Names one row.
struct RowKey
{
    RowKind kind = RowKind::Service;
    std::string name;

    auto operator<=>(const RowKey &) const = default;
};

/// "zone/bergamo"
std::string toString(const RowKey &key);
/// Parses "zone/bergamo"; false leaves `out` unchanged.
bool parseRowKey(std::string_view text, RowKey &out);

enum class CellType { Address, Choice, Count, Time, Fraction, Flag };

/// One column and the rows that have it.
struct Column
{
    std::string_view name;
    CellType type = CellType::Count;
    std::string_view unit;
    bool service = false;
    bool zone = false;
    bool server = false;
    std::uint64_t min = 0;
    std::uint64_t max = 0;
    std::string_view choices; ///< Separated by '|'.
    std::string_view help;
};

/// Every column, in the order of output.
std::span<const Column> tableColumns();
/// Null if there is none of this name.
const Column *findColumn(std::string_view name);
bool hasColumn(RowKind kind, const Column &column);
/// What a cell of the column allows, in words.
std::string allowedText(const Column &column);
/// Names of the columns of `kind`, separated by commas.
std::string columnNames(RowKind kind);

/// One row as the platform holds it; `value` is the JSON of `ServiceRow`, `ZoneRow` or `ServerOrder`.
struct TableRow
{
    RowKey key;
    std::uint64_t version = 0; ///< 0 if it does not exist yet.
    nlohmann::json value;
};

/// A row that does not exist yet, with the default of every cell that has one.
TableRow defaultRow(const RowKey &key);

/// Text of a cell; empty if the row has no such cell.
std::string cellText(const TableRow &row, const Column &column);
/// JSON of a cell's text; nothing if the column does not allow it.
std::optional<nlohmann::json> parseCell(const Column &column, std::string_view text);

/// One cell as an operator wants it.
struct CellEdit
{
    std::string column;
    std::string value;

    bool operator==(const CellEdit &) const = default;
};

/// Wanted cells of one row.
struct RowEdit
{
    RowKey key;
    std::optional<std::uint64_t> expect; ///< Version that the operator saw.
    std::vector<CellEdit> cells;
    std::vector<CellEdit> seen; ///< Cells whose present value must be this one.
};

/// Parses "weight=40"; problems name the cell and what it allows.
std::optional<CellEdit> parseCellEdit(const RowKey &key, std::string_view text, std::string &problem);

struct CellChange
{
    std::string column;
    std::string from;
    std::string to;

    bool operator==(const CellChange &) const = default;
};

/// A cell that another operator changed meanwhile.
struct CellConflict
{
    std::string column;
    std::string base; ///< What this operator saw.
    std::string theirs;
    std::string ours;

    bool operator==(const CellConflict &) const = default;
};

/// Result of putting edits on top of the current row.
struct MergedRow
{
    TableRow row;
    std::vector<CellChange> changes; ///< From the current row.
    std::vector<CellConflict> conflicts; ///< If not empty, `row` is the current row.
};

/// Applies `edits`, made by an operator who saw `base`, to `current`. Cells that `current` and `base` share
/// are replaced; a cell that changed meanwhile to another value than the wanted one is a conflict.
MergedRow mergeEdits(const TableRow &base, const std::vector<CellEdit> &edits, const TableRow &current);

/// Cells that differ.
std::vector<CellChange> diffRows(const TableRow &before, const TableRow &after);

/// Measured values of one row, beside its targets.
struct MeasuredCell
{
    std::string name;
    std::string value;
};

using Measured = std::map<RowKey, std::vector<MeasuredCell>>;

/// Rows as CSV (RFC 4180): kind, name, version and every column; a cell that a row lacks is empty.
std::string tableCsv(std::span<const TableRow> rows);
std::string tableJson(std::span<const TableRow> rows, const Measured &measured);
std::string tableText(std::span<const TableRow> rows, const Measured &measured);

/// Wanted cells of a CSV or JSON file; an empty cell keeps what is in force. Appends every problem with file,
/// line, cell, value and what is allowed; the edits are usable only if none was appended.
std::vector<RowEdit> parseTableCsv(const std::string &file, std::string_view text,
                                   std::vector<Problem> &problems);
std::vector<RowEdit> parseTableJson(const std::string &file, std::string_view text,
                                    std::vector<Problem> &problems);

/// True for names that end in ".csv" or ".json".
bool isTableFile(std::string_view file);
/// Reads a table file, JSON if its name ends in ".json", otherwise CSV.
std::vector<RowEdit> readTableFile(const std::string &file, std::vector<Problem> &problems);

/// Fields of one CSV record, quoted where needed, ended by a line feed.
std::string csvLine(const std::vector<std::string> &fields);

/// A record of a CSV file and the line that it starts at.
struct CsvRecord
{
    int line = 0;
    std::vector<std::string> fields;
};

/// Splits CSV text; false if a quote is not closed, `records` then holds what was read.
bool parseCsv(std::string_view text, std::vector<CsvRecord> &records);

} // namespace oriolelever
