/// Common parts of the operators' commands: settings, access to the platform and HTTP queries to the
/// processes.
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

/// HTTP response of one process.
struct FetchResult
{
    Endpoint from; ///< Address of the process.
    int status = 0; ///< HTTP status; 0 if the process did not respond within the timeout.
    std::string body;
};

/// Requests `path` from all addresses concurrently, with the bearer token `token` unless it is empty. The
/// results are in the order of `addresses`.
std::vector<FetchResult> fetchAll(const std::vector<Endpoint> &addresses, const std::string &path,
                                  const std::string &token, std::chrono::milliseconds timeout);

/// The /status response of one process.
struct ProcessStatus
{
    Endpoint admin; ///< Address of the process.
    bool hasAnswered = false; ///< True if `status` holds a valid response.
    nlohmann::json status; ///< One member for each part of the process.
};

/// Requests /status from all processes of setting "operator.admin".
std::vector<ProcessStatus> readStatuses(const Settings &settings, std::chrono::milliseconds timeout);

/// How many live processes have a version of a row in force, as one process found by asking all of them.
struct InForce
{
    bool hasAnswer = false; ///< False if no process answered the query; the other members are then unset.
    Endpoint from; ///< Process that asked the others.
    std::uint64_t askedProcesses = 0; ///< Number of live processes that `from` asked.
    std::uint64_t confirmedProcesses = 0; ///< Number of those that have the version in force.
    std::vector<std::string> unconfirmedProcesses; ///< Names of the others, or addresses if unnamed.
};

/// True if all processes that were asked, and at least `minProcesses`, have the version in force.
bool isInForceEverywhere(const InForce &inForce, std::uint64_t minProcesses);

/// Parses responses to /in-force and returns that of the process that asked the most others.
InForce parseInForceAnswers(const std::vector<FetchResult> &answers);

/// Access of one command to the platform and the processes.
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

    /// Calls `start(done)` and runs the event loop until `done` is called.
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

    /// Reads all rows from the platform: services, then zones, then servers.
    Answer<std::vector<TableRow>> readRows();

    /// Applies one edit and waits for the result; the history names the operator of the settings.
    Answer<EditOutcome> apply(const RowEdit &edit, bool create);

    /// Number of writes so far whose answer was lost.
    std::uint64_t lostWriteAnswers() const
    {
        return m_client.counters().outcomesUnknown;
    }

    /// False if at least one process reports that it knows no node of this name and none reports that it
    /// does.
    bool mayNodeExist(const std::string &node) const;

    /// Polls until `version` of `key` is in force on all live processes, and at least `minProcesses`, or
    /// until `deadline`. Returns the last result.
    InForce waitUntilInForce(const RowKey &key, std::uint64_t version, TimePoint deadline,
                             std::uint64_t minProcesses = 1);

private:
    Settings m_settings;
    asio::io_context m_control;
    asio::executor_work_guard<asio::io_context::executor_type> m_work; ///< Keeps `m_control` running.
    PlatformClient m_client;
};

/// Reads the settings file of `--config`. Prints all problems and returns nothing if there are any.
std::optional<Settings> operatorSettings();

/// Applies edits in order and prints their outcomes; with `--wait`, then waits until they are in force.
/// Returns the exit status.
int runEdits(const std::vector<RowEdit> &edits, bool create);

/// Prints an error of the platform or the table and returns its exit status.
int reportError(const Error &error);

} // namespace oriolelever
