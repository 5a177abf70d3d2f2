#include "oriolelever/table.h"

#include <algorithm>
#include <fstream>
#include <iterator>
#include <set>

#include <fmt/format.h>

#include "oriolelever/json-parts.h"

namespace oriolelever {

namespace {

using Json = nlohmann::json;

constexpr std::string_view kindField = "kind";
constexpr std::string_view nameField = "name";
constexpr std::string_view versionField = "version";

std::string csvField(const std::string &field)
{
    if (field.find_first_of(",\"\r\n") == std::string::npos) {
        return field;
    }
    std::string quotedField = "\"";
    for (const char c : field) {
        quotedField += c;
        if (c == '"') {
            quotedField += c;
        }
    }
    return quotedField + '"';
}

// Names of the fields that every file may have, separated by commas.
std::string allFieldNames()
{
    std::string names = "kind, name, version";
    for (const auto &column : tableColumns()) {
        names += ", ";
        names += column.name;
    }
    return names;
}

// Builds the edit of one row of a file and reports the problems of its cells.
class RowParser
{
public:
    RowParser(const std::string &file, int line, std::vector<Problem> &problems)
        : m_file(file)
        , m_line(line)
        , m_problems(problems)
    {
    }

    void readKey(const std::string &kind, const std::string &name)
    {
        m_hasValidKey = parseRowKind(kind, m_edit.key.kind);
        if (!m_hasValidKey) {
            addProblem(kindField, kind, "service, zone or server");
            return;
        }
        if (!parseRowKey(kind + "/" + name, m_edit.key)) {
            m_hasValidKey = false;
            addProblem(nameField, name, "letters, digits, '-', '_' and '.'");
        }
    }

    void readVersion(const std::string &text)
    {
        const Column column{.name = versionField, .max = UINT64_MAX};
        const auto parsed = parseCell(column, text);
        if (!parsed) {
            addProblem(versionField, text, "a version of the platform, or empty");
            return;
        }
        m_edit.expectedVersion = parsed->get<std::uint64_t>();
    }

    void readCell(const std::string &name, const std::string &text)
    {
        const auto *const column = findColumn(name);
        if (!m_hasValidKey || column == nullptr) {
            return;
        }
        if (!hasColumn(m_edit.key.kind, *column)) {
            addProblem(name, text, fmt::format("empty in a row of kind {}", toString(m_edit.key.kind)));
            return;
        }
        const auto parsed = parseCell(*column, text);
        if (!parsed) {
            addProblem(name, text, allowedText(*column));
            return;
        }
        m_edit.cells.push_back({name, parsed->is_string() ? parsed->get<std::string>() : parsed->dump()});
    }

    void addProblem(std::string_view field, const std::string &value, const std::string &allowed)
    {
        m_problems.push_back({m_file, m_line, std::string(field), value, allowed});
    }

    std::optional<RowEdit> finish(std::set<RowKey> &earlierKeys)
    {
        if (!m_hasValidKey) {
            return std::nullopt;
        }
        if (!earlierKeys.insert(m_edit.key).second) {
            addProblem(nameField, m_edit.key.name, "one row for each kind and name");
        }
        return std::move(m_edit);
    }

private:
    const std::string &m_file;
    int m_line;
    std::vector<Problem> &m_problems;
    RowEdit m_edit;
    bool m_hasValidKey = false;
};

std::optional<std::size_t> findField(const std::vector<std::string> &header, std::string_view name)
{
    const auto field = std::find(header.begin(), header.end(), name);
    if (field == header.end()) {
        return std::nullopt;
    }
    return static_cast<std::size_t>(field - header.begin());
}

bool checkHeader(const std::string &file, const CsvRecord &header, std::vector<Problem> &problems)
{
    const auto before = problems.size();
    for (const auto &name : header.fields) {
        const bool fixed = name == kindField || name == nameField || name == versionField;
        if (!fixed && findColumn(name) == nullptr) {
            problems.push_back({file, header.line, "column", name, allFieldNames()});
        } else if (std::count(header.fields.begin(), header.fields.end(), name) > 1) {
            problems.push_back({file, header.line, "column", name, "each column once"});
        }
    }
    for (const auto required : {kindField, nameField}) {
        if (!findField(header.fields, required)) {
            problems.push_back({file, 0, "column \"" + std::string(required) + "\"", "", allFieldNames()});
        }
    }
    return problems.size() == before;
}

std::string jsonCellText(const Json &cell)
{
    return cell.is_string() ? cell.get<std::string>() : cell.dump();
}

// Line number of the byte at `offset`, from 1.
int lineAt(std::string_view text, std::size_t offset)
{
    const auto end = text.begin() + static_cast<std::ptrdiff_t>(std::min(offset, text.size()));
    return 1 + static_cast<int>(std::count(text.begin(), end, '\n'));
}

// Line at which each element of the outermost array starts. nlohmann::json keeps no positions of values.
std::vector<int> elementLines(std::string_view text)
{
    std::vector<int> lines;
    int depth = 0;
    bool inQuotes = false;
    int line = 1;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const char c = text[i];
        line += c == '\n' ? 1 : 0;
        if (inQuotes) {
            i += c == '\\' ? 1 : 0;
            inQuotes = c != '"';
            continue;
        }
        inQuotes = c == '"';
        if (c == '{' || c == '[') {
            if (++depth == 2) {
                lines.push_back(line);
            }
        }
        depth -= c == '}' || c == ']' ? 1 : 0;
    }
    return lines;
}

std::string stringMember(const Json &json, std::string_view name)
{
    const auto member = json.find(name);
    return member == json.end() ? std::string() : jsonCellText(*member);
}

} // namespace

std::string csvLine(const std::vector<std::string> &fields)
{
    std::string line;
    for (std::size_t i = 0; i < fields.size(); ++i) {
        line += i == 0 ? "" : ",";
        line += csvField(fields[i]);
    }
    return line + '\n';
}

bool parseCsv(std::string_view text, std::vector<CsvRecord> &records)
{
    CsvRecord record{.line = 1};
    std::string field;
    int line = 1;
    bool inQuotes = false;
    bool hasQuotes = false;
    const auto endRecord = [&] {
        if (hasQuotes || !field.empty() || !record.fields.empty()) {
            record.fields.push_back(std::move(field));
            records.push_back(std::move(record));
        }
        field.clear();
        hasQuotes = false;
        record = {.line = line};
    };
    for (std::size_t i = 0; i < text.size(); ++i) {
        const char c = text[i];
        line += c == '\n' ? 1 : 0;
        if (inQuotes) {
            const bool isEscapedQuote = c == '"' && i + 1 < text.size() && text[i + 1] == '"';
            if (c != '"' || isEscapedQuote) {
                field += c;
                i += isEscapedQuote ? 1 : 0;
            } else {
                inQuotes = false;
            }
        } else if (c == '"' && field.empty()) {
            inQuotes = true;
            hasQuotes = true;
        } else if (c == ',') {
            record.fields.push_back(std::move(field));
            field.clear();
        } else if (c == '\n') {
            endRecord();
        } else if (c != '\r' || i + 1 >= text.size() || text[i + 1] != '\n') {
            field += c;
        }
    }
    endRecord();
    return !inQuotes;
}

std::string tableCsv(std::span<const TableRow> rows)
{
    std::vector<std::string> header{std::string(kindField), std::string(nameField),
                                    std::string(versionField)};
    for (const auto &column : tableColumns()) {
        header.emplace_back(column.name);
    }
    std::string text = csvLine(header);
    for (const auto &row : rows) {
        std::vector<std::string> fields{std::string(toString(row.key.kind)), row.key.name,
                                        std::to_string(row.version)};
        for (const auto &column : tableColumns()) {
            fields.push_back(cellText(row, column));
        }
        text += csvLine(fields);
    }
    return text;
}

std::string tableJson(std::span<const TableRow> rows, const Measured &measured)
{
    Json json = Json::array();
    for (const auto &row : rows) {
        Json item{
            {kindField, toString(row.key.kind)}, {nameField, row.key.name}, {versionField, row.version}};
        for (const auto &column : tableColumns()) {
            if (hasColumn(row.key.kind, column) && row.value.contains(column.name)) {
                item[std::string(column.name)] = row.value[std::string(column.name)];
            }
        }
        const auto cells = measured.find(row.key);
        if (cells != measured.end()) {
            for (const auto &cell : cells->second) {
                item["measured"][cell.name] = cell.value;
            }
        }
        json.push_back(std::move(item));
    }
    return json.dump(2) + '\n';
}

std::string tableText(std::span<const TableRow> rows, const Measured &measured)
{
    std::string text;
    for (const auto &row : rows) {
        text += fmt::format("{} version {}\n", toString(row.key), row.version);
        for (const auto &column : tableColumns()) {
            if (hasColumn(row.key.kind, column)) {
                text += fmt::format("  {}: {}\n", column.name, cellText(row, column));
            }
        }
        const auto cells = measured.find(row.key);
        if (cells == measured.end()) {
            continue;
        }
        for (const auto &cell : cells->second) {
            text += fmt::format("  measured {}: {}\n", cell.name, cell.value);
        }
    }
    return text;
}

std::vector<RowEdit> parseTableCsv(const std::string &file, std::string_view text,
                                   std::vector<Problem> &problems)
{
    std::vector<CsvRecord> records;
    if (!parseCsv(text, records)) {
        problems.push_back(
            {file, records.empty() ? 1 : records.back().line, "quote", "\"", "a closing quote"});
        return {};
    }
    if (records.empty()) {
        problems.push_back({file, 0, "header", "", allFieldNames()});
        return {};
    }
    const auto header = records.front().fields;
    if (!checkHeader(file, records.front(), problems)) {
        return {};
    }
    std::vector<RowEdit> edits;
    std::set<RowKey> earlierKeys;
    const auto kind = *findField(header, kindField);
    const auto name = *findField(header, nameField);
    for (const auto &record : std::span(records).subspan(1)) {
        RowParser row(file, record.line, problems);
        if (record.fields.size() != header.size()) {
            row.addProblem("row", std::to_string(record.fields.size()) + " fields",
                           fmt::format("{} fields", header.size()));
            continue;
        }
        row.readKey(record.fields[kind], record.fields[name]);
        for (std::size_t i = 0; i < header.size(); ++i) {
            if (i == kind || i == name || record.fields[i].empty()) {
                continue;
            }
            if (header[i] == versionField) {
                row.readVersion(record.fields[i]);
            } else {
                row.readCell(header[i], record.fields[i]);
            }
        }
        if (auto edit = row.finish(earlierKeys)) {
            edits.push_back(std::move(*edit));
        }
    }
    return edits;
}

std::vector<RowEdit> parseTableJson(const std::string &file, std::string_view text,
                                    std::vector<Problem> &problems)
{
    if (nestingDepth(text) > maxJsonDepth) {
        problems.push_back({file, 1, "json", "", fmt::format("nesting of at most {} levels", maxJsonDepth)});
        return {};
    }
    // The parser takes a zero byte as the end of the file.
    if (const auto zero = text.find('\0'); zero != std::string_view::npos) {
        problems.push_back({file, lineAt(text, zero), "json", "zero byte", "a JSON array of rows"});
        return {};
    }
    Json json;
    try {
        json = Json::parse(text);
    } catch (const Json::parse_error &error) {
        problems.push_back({file, lineAt(text, error.byte), "json", "", "a JSON array of rows"});
        return {};
    }
    const bool rows = json.is_array()
        && std::all_of(json.begin(), json.end(), [](const Json &item) { return item.is_object(); });
    if (!rows) {
        problems.push_back({file, 1, "json", std::string(json.type_name()), "a JSON array of rows"});
        return {};
    }
    const auto lines = elementLines(text);
    std::vector<RowEdit> edits;
    std::set<RowKey> earlierKeys;
    for (std::size_t i = 0; i < json.size(); ++i) {
        RowParser row(file, i < lines.size() ? lines[i] : 1, problems);
        row.readKey(stringMember(json[i], kindField), stringMember(json[i], nameField));
        for (const auto &[field, cell] : json[i].items()) {
            if (field == kindField || field == nameField || field == "measured") {
                continue;
            }
            if (field == versionField) {
                row.readVersion(jsonCellText(cell));
            } else if (findColumn(field) == nullptr) {
                row.addProblem(field, jsonCellText(cell), allFieldNames());
            } else {
                row.readCell(field, jsonCellText(cell));
            }
        }
        if (auto edit = row.finish(earlierKeys)) {
            edits.push_back(std::move(*edit));
        }
    }
    return edits;
}

bool isTableFile(std::string_view file)
{
    return file.ends_with(".csv") || file.ends_with(".json");
}

std::vector<RowEdit> readTableFile(const std::string &file, std::vector<Problem> &problems)
{
    std::ifstream in(file);
    if (!in) {
        problems.push_back({file, 0, "file", "", "a readable table"});
        return {};
    }
    const std::string text((std::istreambuf_iterator<char>(in)), std::istreambuf_iterator<char>());
    return file.ends_with(".json") ? parseTableJson(file, text, problems)
                                   : parseTableCsv(file, text, problems);
}

} // namespace oriolelever
