#include "soak-ledger.h"

#include <algorithm>

#include <fmt/format.h>

namespace oriolelever::lab {

namespace {

std::string textOf(const FlowKey &flow)
{
    return fmt::format("{}>{}", toString(flow.caller), toString(flow.service));
}

} // namespace

std::string_view toString(Promise promise)
{
    switch (promise) {
    case Promise::OwnAnswers:
        return "own answers";
    case Promise::Unaltered:
        return "unaltered packets";
    case Promise::AtMostOnce:
        return "at most once";
    case Promise::FlowsKept:
        return "flows kept";
    case Promise::FlowsReached:
        return "flows reach their servers";
    case Promise::Answered:
        return "openings answered";
    case Promise::Draining:
        return "draining";
    case Promise::Evacuation:
        return "evacuation";
    case Promise::Routing:
        return "routing";
    case Promise::Configuration:
        return "configuration";
    case Promise::ColdPace:
        return "cold pace";
    case Promise::Recovery:
        return "recovery";
    case Promise::Processes:
        return "processes";
    }
    return "unknown";
}

SoakLedger::SoakLedger(const LedgerBounds &bounds)
    : m_bounds(bounds)
{
}

void SoakLedger::disturb(const std::string &node, TimePoint from, TimePoint until)
{
    m_faults[node].push_back({from, until});
}

void SoakLedger::disturbPlanned(const std::string &node, TimePoint from, TimePoint until)
{
    m_planned[node].push_back({from, until});
}

void SoakLedger::disturbStore(TimePoint from, TimePoint until)
{
    m_storeFaults.push_back({from, until});
}

void SoakLedger::steppedBack(TimePoint from, TimePoint until)
{
    m_stepsBack.push_back({from, until});
}

bool SoakLedger::isSteppedBack(TimePoint now) const
{
    return std::any_of(m_stepsBack.begin(), m_stepsBack.end(),
                       [&](const Span &span) { return span.from <= now && now <= span.until; });
}

TimePoint SoakLedger::lastWritten(TimePoint acknowledged, TimePoint now) const
{
    for (const auto &span : m_stepsBack) {
        if (span.until <= now) {
            acknowledged = std::max(acknowledged, span.until);
        }
    }
    return acknowledged;
}

TimePoint SoakLedger::dueSince(TimePoint acknowledged, TimePoint now) const
{
    auto since = lastWritten(acknowledged, now);
    for (const auto &span : m_storeFaults) {
        if (span.from <= now) {
            since = std::max(since, std::min(span.until, now));
        }
    }
    return since;
}

bool SoakLedger::isDisturbed(const std::map<std::string, std::vector<Span>> &spans, const std::string &node,
                             TimePoint from, TimePoint until) const
{
    for (const auto &name : {node, std::string()}) {
        const auto found = spans.find(name);
        if (found == spans.end()) {
            continue;
        }
        const bool overlaps = std::any_of(found->second.begin(), found->second.end(), [&](const Span &span) {
            return span.from <= until && span.until >= from;
        });
        if (overlaps) {
            return true;
        }
    }
    return false;
}

bool SoakLedger::isCalm(const std::string &node, TimePoint now) const
{
    return !isDisturbed(m_faults, node, now - m_bounds.contact, now);
}

bool SoakLedger::isInTouch(const std::string &node, TimePoint now) const
{
    return isCalm(node, now) && !isDisturbed(m_planned, node, now - m_bounds.contact, now);
}

bool SoakLedger::isStoreCalm(TimePoint since, TimePoint now) const
{
    const auto from = since - m_bounds.contact;
    return std::none_of(m_storeFaults.begin(), m_storeFaults.end(),
                        [&](const Span &span) { return span.from <= now && span.until >= from; });
}

void SoakLedger::judge(Promise promise, bool holds, TimePoint now, const std::string &text)
{
    ++m_judged[promise];
    if (!holds) {
        m_violations.push_back({promise, now, text});
    }
}

void SoakLedger::processStarted(const std::string &node)
{
    m_shown.erase(node);
}

void SoakLedger::serverStarted(const ServerStart &server, TimePoint)
{
    m_servers[server.id] = {.start = server};
}

void SoakLedger::serverEnded(const std::string &id, TimePoint)
{
    m_servers[id].ended = true;
}

void SoakLedger::drainAcknowledged(const std::string &id, TimePoint now)
{
    auto &server = m_servers[id];
    if (server.drainAcknowledged == TimePoint{}) {
        server.drainAcknowledged = now;
        ++m_judged[Promise::Draining];
    }
}

void SoakLedger::configured(std::uint64_t version, const std::map<Endpoint, std::string> &routes,
                            TimePoint now)
{
    m_versions.push_back({version, now, routes});
}

void SoakLedger::evacuated(const std::string &zone, TimePoint now)
{
    m_evacuated.try_emplace(zone, now);
    ++m_judged[Promise::Evacuation];
}

void SoakLedger::takenBack(const std::string &zone, TimePoint)
{
    m_evacuated.erase(zone);
}

void SoakLedger::openingSent(const FlowKey &flow, TimePoint now)
{
    m_flows.insert_or_assign(flow, Flow{.sent = now});
}

void SoakLedger::openingTaken(const FlowKey &flow, const std::string &serverId, const std::string &balancer,
                              TimePoint now)
{
    auto &server = m_servers[serverId];
    const auto found = m_flows.find(flow);
    const auto sent = found == m_flows.end() ? now : found->second.sent;
    const bool inTouch = isInTouch(balancer, now) && isInTouch(server.start.node, now);
    if (server.drainAcknowledged != TimePoint{} && inTouch) {
        judge(Promise::Draining, now - server.drainAcknowledged <= m_bounds.drain, now,
              fmt::format(
                  "server {} accepted flow {} by balancer {} {} ms after its departure was acknowledged",
                  serverId, textOf(flow), balancer,
                  std::chrono::duration_cast<std::chrono::milliseconds>(now - server.drainAcknowledged)
                      .count()));
    }
    const auto evacuation = m_evacuated.find(server.start.zone);
    if (evacuation != m_evacuated.end() && inTouch && isStoreCalm(evacuation->second, now)
        && !isSteppedBack(now)) {
        judge(Promise::Evacuation, now - lastWritten(evacuation->second, now) <= m_bounds.evacuation, now,
              fmt::format("server {} of evacuated zone {} accepted flow {} by balancer {}", serverId,
                          server.start.zone, textOf(flow), balancer));
    }
    judgeRoute(flow, server, balancer, sent, now);
    judgeCold(server, sent, now);
}

void SoakLedger::judgeRoute(const FlowKey &flow, const Server &server, const std::string &balancer,
                            TimePoint sent, TimePoint now)
{
    bool everAllowed = false;
    bool allowedInTime = false;
    std::uint64_t oldestAfterShown = 0;
    auto &shown = m_shown[balancer];
    for (std::size_t i = 0; i < m_versions.size(); ++i) {
        const auto &version = m_versions[i];
        const auto route = version.routes.find(flow.service);
        if (route == version.routes.end() || route->second != server.start.service) {
            continue;
        }
        everAllowed = true;
        const bool isLast = i + 1 == m_versions.size();
        allowedInTime |= isLast || sent - dueSince(m_versions[i + 1].acknowledged, sent) <= m_bounds.apply;
        if (version.number >= shown.version && oldestAfterShown == 0) {
            oldestAfterShown = version.number;
        }
    }
    judge(Promise::Routing, everAllowed, now,
          fmt::format("flow {} went to server {} of service {}, which no configuration allowed", textOf(flow),
                      server.start.id, server.start.service));
    if (!everAllowed) {
        return;
    }
    if (isInTouch(balancer, now) && !isSteppedBack(now) && !isSteppedBack(sent)) {
        judge(
            Promise::Configuration, allowedInTime, now,
            fmt::format("balancer {} sent flow {} to service {} by a configuration that was replaced in time",
                        balancer, textOf(flow), server.start.service));
    }
    if (oldestAfterShown != 0) {
        shown = {oldestAfterShown, now};
        return;
    }
    if (isCalm(balancer, now)) {
        judge(Promise::Configuration, sent - shown.at <= m_bounds.downgrade, now,
              fmt::format("balancer {} went back behind version {} with flow {}", balancer, shown.version,
                          textOf(flow)));
    }
}

void SoakLedger::judgeCold(Server &server, TimePoint sent, TimePoint now)
{
    if (now >= server.start.coldUntil) {
        return;
    }
    constexpr std::chrono::seconds window{1};
    auto &openings = server.coldOpenings;
    while (!openings.empty() && now - openings.front() > window) {
        openings.pop_front();
    }
    if (now - sent <= window) {
        openings.push_back(now);
    }
    const double most = server.start.coldPerSecond * m_bounds.coldFactor + m_bounds.coldSlack;
    judge(Promise::ColdPace, static_cast<double>(openings.size()) <= most, now,
          fmt::format("cold server {} got {} flows in a second, {} are allowed", server.start.id,
                      openings.size(), most));
}

void SoakLedger::openingIgnored(const FlowKey &flow, const std::string &balancer, TimePoint now)
{
    const auto found = m_flows.find(flow);
    const auto sent = found == m_flows.end() ? now - m_bounds.opening : found->second.sent;
    m_flows.erase(flow);
    // Any agent may have been chosen: all must be in touch.
    const auto calm = [&](const auto &spans) {
        return std::none_of(spans.begin(), spans.end(), [&](const auto &entry) {
            return isDisturbed(spans, entry.first, sent - m_bounds.contact, now);
        });
    };
    if (calm(m_faults) && calm(m_planned)) {
        judge(Promise::Answered, false, now,
              fmt::format("opening packet of flow {} by balancer {} was neither accepted nor refused",
                          textOf(flow), balancer));
    }
}

void SoakLedger::flowOpened(const FlowKey &flow, const std::string &server, TimePoint)
{
    auto &known = m_flows[flow];
    known.open = true;
    known.server = server;
    ++m_judged[Promise::Answered];
}

void SoakLedger::flowClosed(const FlowKey &flow)
{
    m_flows.erase(flow);
}

void SoakLedger::packetArrived(const FlowKey &flow, const std::string &server, const std::string &balancer,
                               TimePoint now)
{
    const auto found = m_flows.find(flow);
    if (found == m_flows.end() || !found->second.open) {
        return;
    }
    auto &known = found->second;
    if (known.server == server) {
        known.strays = 0;
        ++m_judged[Promise::FlowsReached];
        return;
    }
    const auto &holder = m_servers[known.server];
    if (holder.ended) {
        return;
    }
    if (known.strays++ == 0) {
        known.firstStray = now;
    }
    constexpr int mostStrays = 2;
    const bool judged = isCalm(balancer, known.firstStray) && isCalm(balancer, now)
        && isCalm(holder.start.node, known.firstStray) && isCalm(holder.start.node, now);
    if (judged && known.strays > mostStrays && now - known.firstStray > m_bounds.stray) {
        judge(
            Promise::FlowsReached, false, now,
            fmt::format("{} packets of flow {} went to other servers than {}, the last by balancer {} to {}",
                        known.strays, textOf(flow), known.server, balancer, server));
        known.strays = 0;
    }
}

void SoakLedger::resetArrived(const FlowKey &flow, const std::string &sender, TimePoint now)
{
    const auto found = m_flows.find(flow);
    if (found == m_flows.end() || !found->second.open) {
        ++m_judged[Promise::Answered];
        m_flows.erase(flow);
        return;
    }
    const auto &holder = m_servers[found->second.server];
    if (!holder.ended && isCalm(sender, now) && isCalm(holder.start.node, now)) {
        judge(Promise::FlowsKept, false, now,
              fmt::format("process {} reset flow {} whose server {} lives", sender, textOf(flow),
                          found->second.server));
    } else {
        ++m_judged[Promise::FlowsKept];
    }
    m_flows.erase(found);
}

void SoakLedger::requestRan(const FlowKey &flow, std::uint32_t number, const std::string &server,
                            TimePoint now)
{
    const bool isFirst = m_ran.insert({hashFlow(flow), number}).second;
    judge(Promise::AtMostOnce, isFirst, now,
          fmt::format("request {} of flow {} ran again, at server {}", number, textOf(flow), server));
}

void SoakLedger::answerArrived(const FlowKey &flow, bool isOwn, TimePoint now)
{
    judge(Promise::OwnAnswers, isOwn, now,
          fmt::format("the caller of flow {} got bytes that its server did not write for it", textOf(flow)));
}

void SoakLedger::packetAltered(const std::string &server, TimePoint now)
{
    judge(Promise::Unaltered, false, now,
          fmt::format("server {} got a packet that no caller wrote so", server));
}

void SoakLedger::processEnded(const std::string &node, const std::string &how, TimePoint now)
{
    judge(Promise::Processes, false, now, fmt::format("process {} ended by itself: {}", node, how));
}

void SoakLedger::memorySeen(const std::string &node, std::uint64_t bytes, std::uint64_t limit, TimePoint now)
{
    judge(Promise::Processes, bytes <= limit, now,
          fmt::format("process {} holds {} bytes of memory, {} are allowed", node, bytes, limit));
}

void SoakLedger::endedWith(std::uint64_t served, std::uint64_t asked, TimePoint now)
{
    const double share = asked == 0 ? 0 : static_cast<double>(served) / static_cast<double>(asked);
    judge(Promise::Recovery, share >= m_bounds.recovered, now,
          fmt::format("{} of {} requests were served after the recovery", served, asked));
}

} // namespace oriolelever::lab
