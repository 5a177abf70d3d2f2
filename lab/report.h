/// Writes the reports that `summary` reads.
#pragma once

#include <fstream>
#include <string>
#include <string_view>

#include <fmt/format.h>

namespace oriolelever::lab {

class ReportWriter
{
public:
    /// Truncates `file`; an empty name writes to standard output.
    explicit ReportWriter(const std::string &file)
        : m_file(file.empty() ? "/dev/stdout" : file)
    {
    }

    template<typename Value>
    void figure(std::string_view name, Value value)
    {
        m_file << fmt::format("{}: {}\n", name, value);
    }

    void line(const std::string &text)
    {
        m_file << text << '\n';
    }

private:
    std::ofstream m_file;
};

} // namespace oriolelever::lab
