/// What the operators' commands share: settings, the platform, and questions to the processes.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>

#include "oriolelever/edit.h"
#include "oriolelever/platform.h"
#include "oriolelever/settings.h"

namespace oriolelever {

/// Answer of one process to a question over HTTP.
struct Fetched
{
    Endpoint from;
    int status = 0; ///< 0 if the process did not answer.
    std::string body;
};

/// Asks `path` of every address at once, under a bearer token unless it is empty; the answers are in the
/// order of `addresses`.
std::vector<Fetched> fetchAll(const std::vector<Endpoint> &addresses, const std::string &path,
                              const std::string &token, std::chrono::milliseconds timeout);

/// One process and what it reports of itself.
struct ProcessStatus
{
    Endpoint admin;
    bool answered = false;
    nlohmann::json status; ///< The members that its services provide.
};

/// Reads /status of every process of setting "operator.admin".
std::vector<ProcessStatus> readStatuses(const Settings &settings, std::chrono::milliseconds timeout);

/// Which live processes have a version of a row in force.
struct InForce
{
    bool known = false; ///< False if no process could be asked.
    Endpoint from; ///< Who collected the answers.
    std::uint64_t asked = 0;
    std::uint64_t confirmed = 0;
    std::vector<std::string> missing; ///< Names, or addresses of processes that gave no name.
};

/// True if all processes that were asked, `least` or more, have confirmed.
bool isComplete(const InForce &inForce, std::uint64_t least);

/// Reads the answers of /in-force; the one that asked the most processes counts.
InForce judgeInForce(const std::vector<Fetched> &answers);

/// One command's connection to the platform and the processes.
///
///     Operator session(settings);
///     const auto answer = session.wait<Object>([&](auto done) { session.api().read("zone", "x", done); });
class Operator
{
public:
    explicit Operator(Settings settings);
    ~Operator();

    ObjectApi &api()
    {
        return m_client;
    }

    const Settings &settings() const
    {
        return m_settings;
    }

    /// Runs `start(done)` and waits for its answer.
    template<typename T, typename Start>
    Answer<T> wait(Start start)
    {
        std::optional<Answer<T>> got;
        start(Done<T>([&got](const Answer<T> &answer) { got = answer; }));
        while (!got) {
            m_control.run_one();
        }
        return *got;
    }

    /// Every row, services first; fails with the platform's error.
    Answer<std::vector<TableRow>> rows();

    /// Applies one edit under the operator's name.
    Answer<EditOutcome> apply(const RowEdit &edit, bool create);

    /// Answers to writes that were lost so far.
    std::uint64_t lostAnswers() const
    {
        return m_client.counters().outcomesUnknown;
    }

    /// False if every process that answers says that it knows no node of this name.
    bool mayExist(const std::string &node) const;

    /// Asks until `version` of `key` is in force on every live process, `least` or more, or `end` has come.
    InForce waitInForce(const RowKey &key, std::uint64_t version, TimePoint end, std::uint64_t least = 1);

private:
    Settings m_settings;
    asio::io_context m_control;
    asio::executor_work_guard<asio::io_context::executor_type> m_work;
    PlatformClient m_client;
};

/// Reads the settings that `--config` names. Prints problems and returns nothing if there are any.
std::optional<Settings> operatorSettings();

/// Applies edits in order, prints each outcome, and waits for it where `--wait` is given. Returns the exit
/// status.
int runEdits(const std::vector<RowEdit> &edits, bool create);

/// Exit status for an error of the platform or the table; prints it.
int reportError(const Error &error);

} // namespace oriolelever
