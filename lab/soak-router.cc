#include "soak-router.h"

#include <algorithm>

namespace oriolelever::lab {

namespace {

constexpr std::chrono::milliseconds checkPeriod{500};
constexpr std::chrono::milliseconds checkTimeout{400};
constexpr int mostMisses = 2;

} // namespace

SoakRouter::SoakRouter(asio::io_context &context, std::vector<RoutedBalancer> balancers)
    : m_timer(context)
{
    for (auto &balancer : balancers) {
        auto client = std::make_unique<HttpClient>(context, HttpClientOptions{.server = balancer.health});
        m_members.push_back({.balancer = std::move(balancer), .health = std::move(client)});
    }
}

void SoakRouter::start()
{
    check();
}

void SoakRouter::check()
{
    for (auto &member : m_members) {
        member.health->send(
            {.target = "/ready", .timeout = checkTimeout, .done = [&member](const HttpAnswer &answer) {
                 const bool ready = answer.state == TransferState::Complete && answer.status == 200;
                 member.misses = ready ? 0 : member.misses + 1;
                 member.inRotation = ready || (member.inRotation && member.misses < mostMisses);
             }});
    }
    m_timer.expires_after(checkPeriod);
    m_timer.async_wait([this](const asio::error_code &error) {
        if (!error) {
            check();
        }
    });
}

const RoutedBalancer *SoakRouter::route(const FlowKey &flow, const std::string &zone) const
{
    std::size_t inZone = 0;
    std::size_t ready = 0;
    for (const auto &member : m_members) {
        inZone += member.balancer.zone == zone ? 1 : 0;
        ready += member.balancer.zone == zone && member.inRotation ? 1 : 0;
    }
    // With fewer than half of a zone's balancers in rotation its routers try all of them.
    const bool tryAll = ready > 0 && 2 * ready < inZone;
    const Member *best = nullptr;
    std::uint64_t bestScore = 0;
    for (const auto &member : m_members) {
        const bool isNear = member.balancer.zone == zone;
        if ((ready > 0 && !isNear) || (!member.inRotation && !tryAll)) {
            continue;
        }
        const auto score = hashName(member.balancer.name + std::to_string(hashFlow(flow)));
        if (best == nullptr || score > bestScore) {
            best = &member;
            bestScore = score;
        }
    }
    return best == nullptr ? nullptr : &best->balancer;
}

std::size_t SoakRouter::inRotation() const
{
    return static_cast<std::size_t>(std::count_if(m_members.begin(), m_members.end(),
                                                  [](const Member &member) { return member.inRotation; }));
}

} // namespace oriolelever::lab
