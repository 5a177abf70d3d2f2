/// Registration of a process in the platform's store, and discovery of processes of another kind.
///
/// Each process writes its own entry before it first lists the others. Of any two processes, the one that
/// writes later therefore finds the other one, and no watch is needed.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <asio/io_context.hpp>

#include "oriolelever/platform.h"

namespace oriolelever {

/// The own entry and the entries to list.
struct PresenceOptions
{
    std::string kind; ///< Kind of the own entry's object in the store, such as that of all agents.
    std::string name; ///< Name of the own entry, unique among the processes of its kind.
    IpAddress host; ///< Where the process runs; the content of the own entry.
    std::string listedKind; ///< Kind of the entries to list.
    /// Between two lists, to find entries that an earlier one missed: lists after the first may read a copy
    /// of the store that is seconds old.
    std::chrono::milliseconds refreshPeriod{15'000};
    /// Longest delay of the calls after a new era of the store; its rate is shared by all processes.
    std::chrono::milliseconds eraSpread{1000};
    std::chrono::milliseconds firstRetryDelay{200}; ///< After the first failed call; see `followerBackoff`.
    /// With `maxCallTimeout`, below the two seconds in which entries must be restored.
    std::chrono::milliseconds maxRetryDelay{600};
};

/// Reads the host of an entry; returns false if the entry has none.
bool parsePresence(const Object &object, IpAddress &out);

/// Keeps the own entry in the store and lists the entries of another kind. Retries failed calls.
class Presence
{
public:
    struct Events
    {
        /// Called after each list with the hosts of all entries of `listedKind`.
        std::function<void(const std::vector<IpAddress> &hosts)> listed;
        /// Called with `written` true and the own entry's name when the entry has been written or found; and
        /// with false and the error's text at the first of several failures in a row of any call.
        std::function<void(bool written, const std::string &text)> entry;
    };

    Presence(asio::io_context &context, ObjectApi &api, PresenceOptions options, Events events);
    ~Presence();

    /// Writes the own entry, then starts to list.
    void start();
    /// Writes the own entry again, at most once per `maxRetryDelay` and not before the first list.
    void renew();
    /// The store has come back from an older copy, which may lack the own entry and others: writes the own
    /// entry again if it is missing and lists anew, within `eraSpread`.
    void handleNewEra();
    /// Makes a call at once that waits to be retried after a failure, as the store has answered another call.
    void retryNow();
    /// Removes the own entry, then calls `done`, also if that failed. Has no timeout of its own.
    void remove(std::function<void()> done);

private:
    struct State;
    std::shared_ptr<State> m_state;
};

/// Removes the own entry from the store when the process drains, if `isDecommissioned` returns true: what
/// the entry stands for has left for good.
class EntryRemoval : public Service
{
public:
    EntryRemoval(Presence &presence, std::function<bool()> isDecommissioned);

    Result<void> start(Kernel &kernel) override;
    void drain(std::function<void()> done) override;
    void stop() override;

private:
    Presence &m_presence;
    std::function<bool()> m_isDecommissioned;
};

} // namespace oriolelever
