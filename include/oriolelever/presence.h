/// A process's entry in the platform's store, and the entries of the processes that it looks for.
///
/// Each process writes its own entry before it first lists the others. Of any two processes the later one
/// therefore finds the earlier one, and no watch is needed.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <asio/io_context.hpp>

#include "oriolelever/platform.h"

namespace oriolelever {

struct PresenceOptions
{
    std::string kind; ///< Of the own entry.
    std::string name; ///< Unique among the processes of this kind.
    IpAddress host;
    std::string wantedKind; ///< Of the entries to be listed.
    std::chrono::milliseconds refresh{15'000}; ///< Lists again to find what an earlier list missed.
    std::chrono::milliseconds firstRetry{200};
    std::chrono::milliseconds longestRetry{1200}; ///< Under the two seconds in which entries must be back.
};

/// Host of an entry; false if the entry is not one of this system.
bool parsePresence(const Object &object, IpAddress &out);

class Presence
{
public:
    struct Events
    {
        /// Hosts of all entries of the wanted kind, after each list.
        std::function<void(const std::vector<IpAddress> &hosts)> listed;
        /// The own entry was written or found; or writing failed, the text says why.
        std::function<void(bool written, const std::string &text)> entry;
    };

    Presence(asio::io_context &context, ObjectApi &api, PresenceOptions options, Events events);
    ~Presence();

    void start();
    /// Writes the own entry again, at most once in `longestRetry`.
    void renew();
    /// Removes the own entry, then calls `done`; the caller bounds the wait.
    void remove(std::function<void()> done);

private:
    struct State;
    std::shared_ptr<State> m_state;
};

/// Takes the own entry out of the store at a stop if `hasLeft` says that what it stands for has left for
/// good.
class EntryRemoval : public Service
{
public:
    EntryRemoval(Presence &presence, std::function<bool()> hasLeft);

    Result<void> start(Kernel &kernel) override;
    void drain(std::function<void()> done) override;
    void stop() override;

private:
    Presence &m_presence;
    std::function<bool()> m_hasLeft;
};

} // namespace oriolelever
