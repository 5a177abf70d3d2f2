/// Publishes this node's announcement at the start and when its state changes. `Members` withdraws it.
#pragma once

#include <optional>

#include "oriolelever/kernel.h"
#include "oriolelever/model.h"
#include "oriolelever/settings.h"

namespace oriolelever {

/// Incarnation of a process that starts at `now`: microseconds since 1970 by the wall clock.
Incarnation incarnationAt(std::chrono::system_clock::time_point now);

/// Announcement of a balancer or an agent from its settings; the first state of an agent is `Cold`, that of a
/// balancer `Ready`.
Announcement announcementFrom(const Settings &settings, NodeRole role, Incarnation incarnation);

/// `current` with a new state; nothing if the state is unchanged. A draining node announces only `Down`.
///
///     if (const auto next = nextAnnouncement(current, draining, NodeState::Ready)) {
///         records.announce(*next);
///     }
std::optional<Announcement> nextAnnouncement(const Announcement &current, bool draining, NodeState state);

/// Announces this process through the service "records"; shuts the process down when another process that
/// started later has announced the same name.
class Node : public Service
{
public:
    explicit Node(Announcement announcement);

    Result<void> start(Kernel &kernel) override;
    void beginDrain() override;
    void stop() override;

    const Announcement &announcement() const
    {
        return m_announcement;
    }

    /// Announces a new state; once the node drains, only `Down`. Control thread only.
    void setState(NodeState state);

private:
    Announcement m_announcement;
    Kernel *m_kernel = nullptr;
    bool m_draining = false; ///< Set by `beginDrain`.
};

} // namespace oriolelever
