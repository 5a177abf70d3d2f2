#include "soak-servers.h"

#include <algorithm>

#include <fmt/format.h>

#include "oriolelever/clock.h"
#include "soak-payload.h"
#include "standin-wire.h"

namespace oriolelever::lab {

using namespace platform::standin;

SoakServer::SoakServer(asio::io_context &context, SoakLedger &ledger, const ServerHost &host,
                       const ServerTimes &times, const ServerPlants &plants, std::uint64_t seed)
    : m_context(context)
    , m_ledger(ledger)
    , m_host(host)
    , m_times(times)
    , m_plants(plants)
    , m_random(seed)
    , m_port(context)
    , m_agent(context, {.server = host.heartbeats})
    , m_beatTimer(context)
    , m_leaveTimer(context)
{
    handleError(
        [&]() -> Result<void> {
            return m_port.open(host.server,
                               [this](std::span<std::uint8_t> bytes, const Endpoint &) { onPacket(bytes); });
        },
        [](const Error &error) { fmt::print(stderr, "{}\n", error.text); });
}

SoakServer::~SoakServer() = default;

std::string SoakServer::startId() const
{
    return fmt::format("i-{}-{}", m_host.node, m_starts);
}

void SoakServer::start(const std::string &service, bool cold, std::chrono::milliseconds clockOffset,
                       bool keepsId)
{
    const auto now = steadyNow();
    ++m_starts;
    const auto id = startId();
    m_id = keepsId && !m_id.empty() ? m_id : id;
    m_service = service;
    m_sequence = 0;
    m_bornAt = static_cast<std::uint64_t>((unixTimeNow() + clockOffset).count());
    m_coldUntil = cold ? now + m_times.cold : TimePoint{};
    m_running = true;
    m_draining = false;
    m_leaving = false;
    m_flows.clear();
    m_ledger.serverStarted({.id = id,
                            .node = m_host.node,
                            .service = service,
                            .zone = m_host.zone,
                            .coldUntil = m_coldUntil,
                            .coldPerSecond = m_times.coldPerSecond},
                           now);
    listen();
    scheduleBeat();
}

void SoakServer::listen()
{
    m_acceptor = std::make_unique<asio::ip::tcp::acceptor>(
        m_context,
        asio::ip::tcp::endpoint(asio::ip::make_address(toString(m_host.server.address)), m_host.server.port));
    accept();
}

void SoakServer::accept()
{
    m_acceptor->async_accept([this](const asio::error_code &error, asio::ip::tcp::socket socket) {
        if (error) {
            return;
        }
        asio::error_code ignored; // Probes close by themselves too.
        socket.close(ignored);
        accept();
    });
}

void SoakServer::crash()
{
    if (!m_running) {
        return;
    }
    m_running = false;
    m_flows.clear();
    m_acceptor.reset();
    m_beatTimer.cancel();
    m_leaveTimer.cancel();
    m_ledger.serverEnded(startId(), steadyNow());
    if (auto left = std::exchange(m_left, nullptr); left) {
        left();
    }
}

void SoakServer::drain(std::function<void()> left)
{
    m_draining = true;
    m_left = std::move(left);
    beat();
}

void SoakServer::leave(const std::function<void()> &left)
{
    m_agent.send({.method = "POST",
                  .target = departurePath(m_id),
                  .body = "{}",
                  .done = [this, left, starts = m_starts](const HttpAnswer &) {
                      if (m_running && m_starts == starts) {
                          m_left = left;
                          crash();
                      }
                  }});
}

void SoakServer::beat()
{
    const auto now = steadyNow();
    const auto coldLeft = std::chrono::duration_cast<std::chrono::milliseconds>(m_coldUntil - now);
    const ServerHeartbeat heartbeat{.id = m_id,
                                    .startTimeMs = m_bornAt,
                                    .sequence = ++m_sequence,
                                    .service = m_service,
                                    .zone = m_host.zone,
                                    .draining = m_draining && !m_plants.hideDeparture,
                                    .slots = m_times.slots,
                                    .coldLeft = m_plants.hideCold
                                        ? std::chrono::milliseconds::zero()
                                        : std::max(coldLeft, std::chrono::milliseconds(0))};
    const auto id = startId();
    m_agent.send({.method = "POST",
                  .target = heartbeatPath(m_id),
                  .body = heartbeatBody(heartbeat, m_host.server),
                  .done = [this, id, draining = m_draining, starts = m_starts](const HttpAnswer &answer) {
                      const bool taken = answer.state == TransferState::Complete && answer.status == 200;
                      if (!taken || !draining || starts != m_starts || !m_running || m_leaving) {
                          return;
                      }
                      m_ledger.drainAcknowledged(id, steadyNow());
                      m_leaving = true;
                      m_leaveTimer.expires_after(m_times.afterDrain);
                      m_leaveTimer.async_wait([this](const asio::error_code &error) {
                          if (!error) {
                              leave(std::exchange(m_left, nullptr));
                          }
                      });
                  }});
}

void SoakServer::scheduleBeat()
{
    beat();
    m_beatTimer.expires_after(m_times.heartbeat);
    m_beatTimer.async_wait([this](const asio::error_code &error) {
        if (!error && m_running) {
            scheduleBeat();
        }
    });
}

void SoakServer::onPacket(std::span<std::uint8_t> bytes)
{
    static const auto format = packetFormat();
    Segment segment;
    if (!m_running) {
        return;
    }
    const auto id = startId();
    if (!format.parse(bytes, segment) || !hasValidChecksum(bytes)) {
        m_ledger.packetAltered(id, steadyNow());
        return;
    }
    const auto key = flowFromCaller(segment);
    const auto balancer = nameOf(ipv4Address(segment.mark));
    if (segment.opens()) {
        open(key, segment, balancer);
        return;
    }
    m_ledger.packetArrived(key, id, balancer, steadyNow());
    const auto found = m_flows.find(key);
    if (found == m_flows.end()
        || (!found->second.open && segment.acknowledgement != found->second.initialSequence + 1)) {
        giveBack(bytes);
        return;
    }
    auto &flow = found->second;
    if (!flow.open) {
        flow.open = true;
        m_ledger.flowOpened(key, id, steadyNow());
    }
    if (segment.rst) {
        m_flows.erase(found);
        return;
    }
    if (segment.fin) {
        reply(writePacket({.source = segment.destination,
                           .destination = segment.source,
                           .ack = true,
                           .fin = true,
                           .sequence = flow.nextToCaller,
                           .acknowledgement = segment.sequence + 1}));
        m_flows.erase(found);
        return;
    }
    work(key, flow, segment, bytes);
}

void SoakServer::open(const FlowKey &key, const Segment &segment, const std::string &balancer)
{
    const auto [found, isNew] = m_flows.try_emplace(key);
    auto &flow = found->second;
    if (isNew) {
        flow.initialSequence = static_cast<std::uint32_t>(m_random());
        flow.nextFromCaller = segment.sequence + 1;
        flow.nextToCaller = flow.initialSequence + 1;
        m_ledger.openingTaken(key, startId(), balancer, steadyNow());
    }
    reply(writePacket({.source = segment.destination,
                       .destination = segment.source,
                       .syn = true,
                       .ack = true,
                       .sequence = flow.initialSequence,
                       .acknowledgement = segment.sequence + 1}));
}

void SoakServer::work(const FlowKey &key, Flow &flow, const Segment &segment,
                      std::span<const std::uint8_t> bytes)
{
    const auto payload = payloadOf(bytes);
    std::uint32_t number = 0;
    if (!readRequest(payload, number)) {
        return;
    }
    const bool isRepeated = segment.sequence != flow.nextFromCaller;
    if (isRepeated && !m_plants.runTwice) {
        if (!flow.working && !flow.lastAnswer.empty()) {
            reply(flow.lastAnswer);
        }
        return;
    }
    const auto id = startId();
    m_ledger.requestRan(key, number, id, steadyNow());
    flow.nextFromCaller = segment.sequence + static_cast<std::uint32_t>(payload.size());
    flow.working = true;
    const auto shortest = m_times.work.count();
    const std::chrono::milliseconds duration(shortest
                                             + static_cast<std::int64_t>(m_random() % (3 * shortest)));
    auto timer = std::make_shared<asio::steady_timer>(m_context, duration);
    timer->async_wait([this, timer, key, number, starts = m_starts](const asio::error_code &error) {
        if (!error && m_running && starts == m_starts) {
            answer(key, number);
        }
    });
}

void SoakServer::answer(const FlowKey &key, std::uint32_t number)
{
    const auto found = m_flows.find(key);
    if (found == m_flows.end()) {
        return;
    }
    auto &flow = found->second;
    const auto payload = writeAnswer(key, number);
    flow.working = false;
    flow.lastAnswer = writePacket({.source = key.service,
                                   .destination = key.caller,
                                   .ack = true,
                                   .fin = m_draining,
                                   .sequence = flow.nextToCaller,
                                   .acknowledgement = flow.nextFromCaller},
                                  payload);
    flow.nextToCaller += static_cast<std::uint32_t>(payload.size());
    reply(flow.lastAnswer);
}

void SoakServer::giveBack(std::span<std::uint8_t> bytes)
{
    markReturned(bytes);
    m_port.send(bytes, m_host.outbound);
}

void SoakServer::reply(const std::vector<std::uint8_t> &packet)
{
    m_port.send(packet, m_host.outbound);
    m_port.flush();
}

} // namespace oriolelever::lab
