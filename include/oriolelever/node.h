/// The node's own announcement: published at the start, changed with its state. `Members` withdraws it.
#pragma once

#include <optional>

#include "oriolelever/kernel.h"
#include "oriolelever/model.h"
#include "oriolelever/settings.h"

namespace oriolelever {

/// Start counter from wall-clock time: microseconds since 1970.
Incarnation incarnationAt(std::chrono::system_clock::time_point now);

/// Announcement of a balancer or an agent from its settings; an agent starts `Cold`, a balancer `Ready`.
Announcement announcementFrom(const Settings &settings, NodeRole role, Incarnation incarnation);

/// The announcement of the next state; nothing when it stays as it is. A leaving node announces only `Down`.
///
///     if (const auto next = announceNext(current, leaving, NodeState::Ready)) {
///         records.announce(*next);
///     }
std::optional<Announcement> announceNext(const Announcement &current, bool leaving, NodeState state);

/// Announces this process through the service "records"; shuts down when a later start has taken its name.
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

    /// Announces a new state; ignored once the node leaves. Control thread only.
    void setState(NodeState state);

private:
    Announcement m_announcement;
    Kernel *m_kernel = nullptr;
    bool m_leaving = false;
};

} // namespace oriolelever
