#include "oriolelever/node.h"

#include "oriolelever/log.h"
#include "oriolelever/records.h"

namespace oriolelever {

namespace {

const Log &nodeLog()
{
    static const Log instance("node");
    return instance;
}

} // namespace

Incarnation incarnationAt(std::chrono::system_clock::time_point now)
{
    const auto sinceEpoch = std::chrono::duration_cast<std::chrono::microseconds>(now.time_since_epoch());
    return static_cast<Incarnation>(sinceEpoch.count());
}

Announcement announcementFrom(const Settings &settings, NodeRole role, Incarnation incarnation)
{
    Announcement announcement{
        .name = settings.text("process", "name"),
        .role = role,
        .zone = settings.text("process", "zone"),
        .incarnation = incarnation,
        .state = role == NodeRole::Agent ? NodeState::Cold : NodeState::Ready,
        .data = settings.address("data", "listen"),
        .control = settings.address("control", "listen"),
    };
    if (role == NodeRole::Balancer) {
        return announcement;
    }
    announcement.service = settings.text("server", "service");
    announcement.requests = settings.address("requests", "listen");
    announcement.handover = settings.address("requests", "handover");
    announcement.connectionLimit = static_cast<std::uint32_t>(settings.count("server", "connection_limit"));
    announcement.slotLimit = static_cast<std::uint32_t>(settings.count("server", "slot_limit"));
    return announcement;
}

std::optional<Announcement> nextAnnouncement(const Announcement &current, bool draining, NodeState state)
{
    if (current.state == state || (draining && state != NodeState::Down)) {
        return std::nullopt;
    }
    auto next = current;
    next.state = state;
    return next;
}

Node::Node(Announcement announcement)
    : m_announcement(std::move(announcement))
{
}

Result<void> Node::start(Kernel &kernel)
{
    m_kernel = &kernel;
    auto &records = kernel.find<Records>("records");
    records.subscribe([this, &records](const std::vector<Record> &) {
        if (!records.isReplaced() || m_draining) {
            return;
        }
        nodeLog().error("another process announced the name {} later; shutting down", m_announcement.name);
        m_kernel->shutDown();
    });
    records.announce(m_announcement);
    return {};
}

void Node::setState(NodeState state)
{
    const auto next = nextAnnouncement(m_announcement, m_draining, state);
    if (!next) {
        return;
    }
    m_announcement = *next;
    m_kernel->find<Records>("records").announce(m_announcement);
}

void Node::beginDrain()
{
    setState(NodeState::Draining);
    m_draining = true;
}

void Node::stop()
{
}

} // namespace oriolelever
