#include "standin-world.h"

#include <algorithm>
#include <csignal>
#include <cstring>
#include <fstream>
#include <random>

#include <fcntl.h>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

using Json = nlohmann::json;

constexpr const char *program = "target/oriolelever-node";
constexpr double restartDelay = 0.55; // Between the end of a process and its next start.
constexpr double firstResend = 0.2;
constexpr double longestResend = 1.6;
constexpr int maxResends = 8;

std::mt19937 &random()
{
    static std::mt19937 engine(std::random_device{}());
    return engine;
}

std::mutex randomMutex;

std::uint32_t draw()
{
    const std::lock_guard lock(randomMutex);
    return random()();
}

} // namespace

Site drawSite(const std::string &directory)
{
    Site site;
    site.network = (127U << 24) | ((20 + draw() % 200) << 16) | ((1 + draw() % 250) << 8);
    site.dgramPort = static_cast<std::uint16_t>(20'000 + draw() % 10'000);
    site.directory = directory;
    return site;
}

Node::Node(const Site &site, std::string name, std::string role, int host, std::string zone,
           std::string service, int storeHost)
    : m_site(site)
    , m_name(std::move(name))
    , m_role(std::move(role))
    , m_host(host)
    , m_zone(std::move(zone))
    , m_service(std::move(service))
    , m_storeHost(storeHost)
{
}

Node::~Node()
{
    remove();
}

std::string Node::settings() const
{
    const auto ip = m_site.ip(m_host);
    const auto at = [&](int offset) {
        return textOf(Address{ip, m_site.port(offset)});
    };
    const bool isFront = m_role == "balancer";
    Json zones;
    for (const auto &zone : m_site.zones) {
        zones[zone] = "lombardia";
    }
    Json listen{{"DgramAddr", at(DgramPort)}, {"Ready", at(ReadyPort)}, {"Control", at(ControlPort)}};
    if (!isFront) {
        listen["outbound"] = at(OutboundPort);
    }
    Json json{
        {"Node", m_name},
        {"Role", m_role},
        {"MachineClass", isFront ? "front" : "side"},
        {"Serves", Json::array({isFront ? "front" : "side"})},
        {"Ip", textOf(ip)},
        {"Zone", m_zone},
        {"Region", "lombardia"},
        {"Zones", zones},
        {"Listen", listen},
        {"InternalPorts", {m_site.port(FirstInternalPort), m_site.port(FirstInternalPort + 15)}},
        {"Seeds", Json::array()},
        {"Bootstrap", true},
        {"CountsAsLoss", isFront},
        {"Limits", {{"CpuShare", 1.0}, {"Cores", 1}, {"MemoryLimitMb", 260}, {"MaxFds", 4100}}},
        {"DataDir", nullptr},
        {"Discovery", "local"},
        {"Entry", "announce"},
        {"BeatMs", m_site.heartbeatMs},
        {"Contracts", {"base", "drain", "config", "cost", "recover", "flows", "places", "platform"}},
        {"Tolerate", {{"Machines", 2}, {"Zones", 1}, {"Regions", 0}}},
        {"Bounds",
         {{"SeedLagS", 3},
          {"ReuseS", 2},
          {"ContactMs", 4000},
          {"AckMs", 5000},
          {"CatchupS", 4},
          {"DrainMs", 3000},
          {"GraceS", 6},
          {"LostMs", 200},
          {"ApplyMs", 3000},
          {"DowngradeMs", 250},
          {"SkewMaxMs", 12000},
          {"WarmupFactor", 1.5},
          {"ColdSlack", 5},
          {"EvacMs", 5000},
          {"RecoveryS", 12},
          {"FlowMs", 2000},
          {"FlowTtlS", 60}}},
        {"Hash", "steady"},
        {"DeploymentMode", "agent"},
        {"platform",
         {{"Addr", textOf(Address{m_site.ip(m_storeHost), m_site.port(StorePort)})},
          {"DeploymentMode", "objects"},
          {"WritesPerS", 400},
          {"ReadsPerS", 2000},
          {"RetentionS", 20},
          {"ValueBytes", 1'048'576},
          {"MinTtlMs", 1000}}},
    };
    if (!isFront) {
        json["app"] = at(AppPort);
        json["Service"] = m_service;
    }
    return json.dump(1);
}

void Node::start()
{
    const std::lock_guard lock(m_mutex);
    m_wanted = true;
    m_startAt = 0;
}

void Node::check()
{
    const std::lock_guard lock(m_mutex);
    int status = 0;
    if (m_pid > 0 && ::waitpid(m_pid, &status, WNOHANG) == m_pid) {
        record.line("process " + m_name + " ended"
                    + (WIFSIGNALED(status) ? " by signal " + std::to_string(WTERMSIG(status))
                                           : " with status " + std::to_string(WEXITSTATUS(status))));
        m_ownEnds += m_signalled ? 0 : 1;
        m_pid = 0;
        m_startAt = nowSeconds() + restartDelay;
    }
    if (m_pid > 0 || !m_wanted || nowSeconds() < m_startAt) {
        return;
    }
    const auto path = m_site.directory + "/" + m_name;
    std::ofstream(path + ".json") << settings();
    const auto variable = "ORIOLELEVER_BOOT=" + path + ".json";
    const char *environment[] = {"PATH=/usr/bin:/bin", "HOME=/tmp", "LANG=C", variable.c_str(), nullptr};
    const char *arguments[] = {program, m_role.c_str(), "9464", nullptr};
    const int output = ::open((path + ".log").c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    const auto pid = ::fork();
    if (pid == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        ::dup2(output, STDOUT_FILENO);
        ::dup2(output, STDERR_FILENO);
        ::execve(program, const_cast<char **>(arguments), const_cast<char **>(environment));
        ::_exit(127);
    }
    ::close(output);
    m_pid = pid;
    m_signalled = false;
    record.line("process " + m_name + " started");
}

void Node::send(int signal)
{
    const std::lock_guard lock(m_mutex);
    if (m_pid <= 0) {
        return;
    }
    m_signalled |= signal == SIGKILL || signal == SIGTERM;
    record.line("signal " + std::to_string(signal) + " to " + m_name);
    ::kill(m_pid, signal);
}

void Node::remove()
{
    const std::lock_guard lock(m_mutex);
    m_wanted = false;
    if (m_pid > 0) {
        m_signalled = true;
        ::kill(m_pid, SIGKILL);
        ::waitpid(m_pid, nullptr, 0);
        m_pid = 0;
        if (nowSeconds() > 0) {
            record.line("process " + m_name + " removed");
        }
    }
}

Server::Server(const Site &site, std::string name, int host, std::string zone, std::string service)
    : m_site(site)
    , m_name(std::move(name))
    , m_host(host)
    , m_zone(std::move(zone))
    , m_service(std::move(service))
    , m_app{site.ip(host), site.port(AppPort)}
    , m_outbound{site.ip(host), site.port(OutboundPort)}
    , m_control{site.ip(host), site.port(ControlPort)}
{
}

Server::~Server()
{
    crash();
}

void Server::start(const std::string &id)
{
    m_id = id;
    m_born = unixMilliseconds();
    m_sequence = 0;
    m_draining = false;
    m_drainAcknowledged = false;
    m_udp = openUdp(m_app);
    m_tcp = openListener(m_app);
    if (m_udp < 0 || m_tcp < 0) {
        std::fprintf(stderr, "cannot bind %s\n", textOf(m_app).c_str());
        ::_exit(2);
    }
    m_running = true;
    m_openings.clear();
    m_runs.clear();
    record.line("server " + m_name + " of " + m_service + " starts as " + m_id + ", born "
                + std::to_string(m_born));
    m_thread = std::thread([this] { run(); });
    m_beats = std::thread([this] { beat(); });
}

void Server::crash()
{
    if (!m_running.exchange(false)) {
        return;
    }
    record.line("server " + m_name + " ends");
    m_thread.join();
    m_beats.join();
    ::close(m_udp);
    ::close(m_tcp);
    const std::lock_guard lock(m_mutex);
    m_flows.clear();
    m_work.clear();
}

void Server::drain()
{
    m_draining = true;
    record.line("server " + m_name + " is draining");
}

std::string Server::body(bool draining)
{
    return Json{{"Service", m_service}, {"Addr", textOf(m_app)},
                {"Zone", m_zone},       {"Version", "v1"},
                {"Slots", 2},           {"State", draining ? "draining" : "ready"},
                {"ColdLeftMs", 0},      {"Seq", ++m_sequence},
                {"born", m_born}}
        .dump();
}

void Server::leave(double delaySeconds)
{
    const auto path = "/instances/" + m_id + "/deregister";
    const auto text = Json{{"born", m_born}}.dump();
    record.line("server " + m_name + " deregisters " + m_id + ", born " + std::to_string(m_born));
    auto call = [control = m_control, path, text, delaySeconds, name = m_name] {
        sleepFor(delaySeconds);
        const auto reply = callHttp(control, "POST", path, text, 1000);
        record.line("deregister of " + name + ": " + (reply ? std::to_string(reply->status) : "no answer"));
    };
    if (delaySeconds > 0) {
        std::thread(call).detach();
    } else {
        call();
    }
    crash();
}

void Server::beat()
{
    double next = nowSeconds();
    while (m_running) {
        if (nowSeconds() < next) {
            sleepFor(0.01);
            continue;
        }
        next = nowSeconds() + m_site.heartbeatMs / 1000.0;
        const bool draining = m_draining;
        const auto reply
            = callHttp(m_control, "POST", "/instances/" + m_id + "/heartbeat", body(draining), 1000);
        const bool taken = reply && reply->status >= 200 && reply->status < 300;
        if (taken && draining && !m_drainAcknowledged.exchange(true)) {
            record.line("draining of " + m_name + " acknowledged");
        }
    }
}

void Server::run()
{
    std::vector<std::uint8_t> bytes;
    while (m_running) {
        if (receiveUdp(m_udp, bytes, 2)) {
            handle(bytes);
        }
        pollfd entry{.fd = m_tcp, .events = POLLIN, .revents = 0};
        if (::poll(&entry, 1, 0) == 1) {
            ::close(::accept4(m_tcp, nullptr, nullptr, SOCK_CLOEXEC));
        }
        const auto now = nowSeconds();
        for (std::size_t i = 0; i < m_work.size();) {
            if (m_work[i].due > now) {
                ++i;
                continue;
            }
            const auto work = m_work[i];
            m_work.erase(m_work.begin() + static_cast<std::ptrdiff_t>(i));
            answer(work);
        }
        resend();
    }
}

void Server::sendReliably(Flow &flow, const Packet &packet)
{
    flow.unacknowledged = encodePacket(packet);
    flow.interval = firstResend;
    flow.resendAt = nowSeconds() + flow.interval;
    flow.resends = 0;
    sendUdp(m_udp, flow.unacknowledged, m_outbound);
}

void Server::resend()
{
    const std::lock_guard lock(m_mutex);
    const auto now = nowSeconds();
    for (auto entry = m_flows.begin(); entry != m_flows.end();) {
        auto &flow = entry->second;
        if (flow.unacknowledged.empty() || now < flow.resendAt) {
            ++entry;
            continue;
        }
        if (++flow.resends > maxResends) {
            entry = m_flows.erase(entry);
            continue;
        }
        sendUdp(m_udp, flow.unacknowledged, m_outbound);
        flow.interval = std::min(2 * flow.interval, longestResend);
        flow.resendAt = now + flow.interval;
        ++entry;
    }
}

void Server::handle(std::vector<std::uint8_t> &bytes)
{
    Packet packet;
    bool isIntact = false;
    if (!decodePacket(bytes, packet, isIntact) || !isIntact) {
        record.line("server " + m_name + " got a packet that its sender did not write so");
        return;
    }
    const std::lock_guard lock(m_mutex);
    const Key key{packet.source, packet.destination};
    const auto found = m_flows.find(key);
    if (packet.syn) {
        if (found != m_flows.end()) {
            if (!found->second.open) {
                sendUdp(m_udp, found->second.unacknowledged, m_outbound);
            }
            return;
        }
        ++m_openings[packet.destination.port];
        auto &flow = m_flows[key];
        flow.initial = draw();
        flow.nextFromClient = packet.sequence + 1;
        flow.nextToClient = flow.initial + 1;
        record.line("server " + m_name + " of " + m_service + " answers the opening packet of "
                    + textOf(packet.source) + " to port " + std::to_string(packet.destination.port));
        sendReliably(flow,
                     {.source = packet.destination,
                      .destination = packet.source,
                      .syn = true,
                      .ack = true,
                      .sequence = flow.initial,
                      .acknowledgement = flow.nextFromClient});
        return;
    }
    if (found == m_flows.end()
        || (!found->second.open && packet.acknowledgement != found->second.initial + 1)) {
        record.line("server " + m_name + " does not hold the flow of " + textOf(packet.source));
        bytes[14] |= 4;
        bytes[15] = 0;
        sendUdp(m_udp, bytes, m_outbound);
        return;
    }
    auto &flow = found->second;
    if (!flow.open) {
        flow.open = true;
        record.line("server " + m_name + " has the flow of " + textOf(packet.source));
    }
    if (packet.acknowledgement == flow.nextToClient) {
        flow.unacknowledged.clear();
    }
    if (packet.rst || packet.fin) {
        if (packet.fin) {
            sendUdp(m_udp,
                    encodePacket({.source = packet.destination,
                                  .destination = packet.source,
                                  .ack = true,
                                  .fin = true,
                                  .sequence = flow.nextToClient,
                                  .acknowledgement = packet.sequence + 1}),
                    m_outbound);
        }
        record.line("server " + m_name + ": " + textOf(packet.source) + " closes the flow");
        m_flows.erase(found);
        return;
    }
    if (packet.data.empty() || packet.sequence != flow.nextFromClient) {
        return;
    }
    flow.nextFromClient += static_cast<std::uint32_t>(packet.data.size());
    constexpr std::string_view idHeader = "Request-Id: ";
    const auto start = packet.data.find(idHeader) + idHeader.size();
    const auto id = packet.data.substr(start, packet.data.find("\r\n", start) - start);
    ++m_runs[packet.destination.port];
    record.line("server " + m_name + " of " + m_service + " runs request " + id + " to port "
                + std::to_string(packet.destination.port));
    constexpr double workSeconds = 0.015;
    m_work.push_back({.due = nowSeconds() + workSeconds, .flow = key, .id = id});
}

void Server::answer(const Work &work)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_flows.find(work.flow);
    if (found == m_flows.end()) {
        return;
    }
    auto &flow = found->second;
    const auto data = "HTTP/1.1 200 OK\r\nServer-Stamp: " + m_id
        + "\r\nContent-Length: " + std::to_string(work.id.size()) + "\r\n\r\n" + work.id;
    const Packet packet{.source = work.flow.second,
                        .destination = work.flow.first,
                        .ack = true,
                        .sequence = flow.nextToClient,
                        .acknowledgement = flow.nextFromClient,
                        .data = data};
    flow.nextToClient += static_cast<std::uint32_t>(data.size());
    sendReliably(flow, packet);
}

int Server::openFlows()
{
    const std::lock_guard lock(m_mutex);
    return static_cast<int>(
        std::count_if(m_flows.begin(), m_flows.end(), [](const auto &entry) { return entry.second.open; }));
}

int Server::openingsTo(int virtualPort)
{
    const std::lock_guard lock(m_mutex);
    return m_openings[virtualPort];
}

int Server::runsOf(int virtualPort)
{
    const std::lock_guard lock(m_mutex);
    return m_runs[virtualPort];
}

bool Server::holds(const Address &client)
{
    const std::lock_guard lock(m_mutex);
    return std::any_of(m_flows.begin(), m_flows.end(),
                       [&](const auto &entry) { return entry.second.open && entry.first.first == client; });
}

Router::Router(const Site &site, const std::vector<std::unique_ptr<Node>> &balancers)
    : m_site(site)
{
    for (const auto &balancer : balancers) {
        m_members.push_back({.node = balancer.get()});
    }
}

Router::~Router()
{
    m_running = false;
    for (auto &probe : m_probes) {
        probe.join();
    }
}

void Router::start()
{
    for (auto &member : m_members) {
        m_probes.emplace_back([this, &member] {
            const Address ready{m_site.ip(member.node->host()), m_site.port(ReadyPort)};
            while (m_running) {
                const auto next = nowSeconds() + 0.5;
                const auto reply = callHttp(ready, "GET", "/ready", "", 450);
                {
                    const std::lock_guard lock(m_mutex);
                    const bool isReady = reply && reply->status == 200;
                    member.misses = isReady ? 0 : member.misses + 1;
                    const bool before = member.inRotation;
                    member.inRotation = isReady || (before && member.misses < 2);
                    if (member.inRotation != before) {
                        record.line("router: " + member.node->name()
                                    + (member.inRotation ? " in rotation" : " out of rotation"));
                    }
                }
                sleepFor(std::max(0.0, next - nowSeconds()));
            }
        });
    }
}

bool Router::isInRotation(const std::string &balancer)
{
    const std::lock_guard lock(m_mutex);
    return std::any_of(m_members.begin(), m_members.end(), [&](const Member &member) {
        return member.inRotation && member.node->name() == balancer;
    });
}

Address Router::route(const Address &client, const std::string &zone)
{
    const std::lock_guard lock(m_mutex);
    std::size_t inZone = 0;
    std::size_t readyInZone = 0;
    for (const auto &member : m_members) {
        inZone += member.node->zone() == zone ? 1 : 0;
        readyInZone += member.node->zone() == zone && member.inRotation ? 1 : 0;
    }
    const bool usesAllOfZone = readyInZone > 0 && 2 * readyInZone < inZone;
    const bool isAnyReady = std::any_of(m_members.begin(), m_members.end(),
                                        [](const Member &member) { return member.inRotation; });
    const Member *best = nullptr;
    std::uint64_t bestScore = 0;
    for (const auto &member : m_members) {
        const bool isNear = member.node->zone() == zone;
        const bool isCandidate = readyInZone > 0 ? isNear && (member.inRotation || usesAllOfZone)
            : isAnyReady                         ? member.inRotation
                                                 : isNear;
        const auto score = std::hash<std::string>{}(member.node->name() + textOf(client));
        if (isCandidate && (best == nullptr || score > bestScore)) {
            best = &member;
            bestScore = score;
        }
    }
    return {m_site.ip(best->node->host()), m_site.port(DgramPort)};
}

Client::Client(const Site &site, Router &router, int host, std::string zone)
    : m_site(site)
    , m_router(router)
    , m_host(host)
    , m_zone(std::move(zone))
    , m_socket(openUdp({site.ip(host), site.port(DgramPort)}))
    , m_thread([this] { run(); })
{
}

Client::~Client()
{
    m_running = false;
    m_thread.join();
    ::close(m_socket);
}

Address Client::address(int flow) const
{
    return {m_site.ip(m_host), static_cast<std::uint16_t>(flow)};
}

int Client::open(int virtualPort)
{
    const std::lock_guard lock(m_mutex);
    const int port = m_nextPort++;
    auto &flow = m_flows[port];
    flow.virtualAddress = {m_site.ip(VirtualHost), static_cast<std::uint16_t>(virtualPort)};
    flow.sequence = draw();
    flow.openedAt = nowSeconds();
    record.line("client " + textOf(address(port)) + " opens a flow to " + textOf(flow.virtualAddress));
    send(port, flow, {.syn = true, .sequence = flow.sequence});
    return port;
}

FlowState Client::state(int flow)
{
    const std::lock_guard lock(m_mutex);
    return m_flows.at(flow).state;
}

bool Client::isIdle(int flow)
{
    const std::lock_guard lock(m_mutex);
    return m_flows.at(flow).id.empty();
}

void Client::send(int port, const Flow &flow, Packet packet)
{
    packet.source = address(port);
    packet.destination = flow.virtualAddress;
    sendUdp(m_socket, encodePacket(packet), m_router.route(packet.source, m_zone));
}

void Client::request(int flow, const std::string &id, double deadline)
{
    const std::lock_guard lock(m_mutex);
    auto &entry = m_flows.at(flow);
    if (entry.state != FlowState::Open || !entry.id.empty()) {
        record.line("client " + textOf(address(flow)) + " cannot send request " + id);
        m_outcomes[id] = false;
        return;
    }
    entry.id = id;
    entry.data = "POST /work HTTP/1.1\r\nRequest-Id: " + id + "\r\nContent-Length: 0\r\n\r\n";
    entry.deadline = nowSeconds() + deadline;
    entry.interval = firstResend;
    entry.resendAt = nowSeconds() + entry.interval;
    record.line("client " + textOf(address(flow)) + " sends request " + id);
    send(flow, entry,
         {.ack = true,
          .sequence = entry.sequence,
          .acknowledgement = entry.acknowledgement,
          .data = entry.data});
}

std::optional<bool> Client::outcome(const std::string &id)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_outcomes.find(id);
    return found == m_outcomes.end() ? std::nullopt : std::optional(found->second);
}

void Client::close(int port)
{
    const std::lock_guard lock(m_mutex);
    auto &flow = m_flows.at(port);
    if (flow.state == FlowState::Open) {
        flow.state = FlowState::Closed;
        send(port, flow,
             {.ack = true, .fin = true, .sequence = flow.sequence, .acknowledgement = flow.acknowledgement});
    }
}

void Client::finish(Flow &flow, bool answered)
{
    record.line("request " + flow.id + (answered ? " answered" : " not answered"));
    m_outcomes[flow.id] = answered;
    flow.id.clear();
    flow.data.clear();
}

void Client::run()
{
    std::vector<std::uint8_t> bytes;
    while (m_running) {
        if (receiveUdp(m_socket, bytes, 2)) {
            const std::lock_guard lock(m_mutex);
            handle(bytes);
        }
        const std::lock_guard lock(m_mutex);
        for (auto &[port, flow] : m_flows) {
            advance(port, flow);
        }
    }
}

void Client::advance(int port, Flow &flow)
{
    const auto now = nowSeconds();
    if (flow.state == FlowState::Opening) {
        constexpr double copyTimes[] = {0.2, 0.6};
        if (flow.copies < 2 && now - flow.openedAt >= copyTimes[flow.copies]) {
            ++flow.copies;
            send(port, flow,
                 {.syn = true,
                  .sequence = flow.sequence,
                  .acknowledgement = static_cast<std::uint32_t>(flow.copies)});
        }
        if (now - flow.openedAt >= 1.4) {
            flow.state = FlowState::Ignored;
            record.line("client " + textOf(address(port)) + " gives up opening");
        }
        return;
    }
    if (flow.id.empty()) {
        return;
    }
    if (now >= flow.deadline) {
        finish(flow, false);
        return;
    }
    if (now >= flow.resendAt) {
        flow.interval = std::min(2 * flow.interval, longestResend);
        flow.resendAt = now + flow.interval;
        send(port, flow,
             {.ack = true,
              .sequence = flow.sequence,
              .acknowledgement = flow.acknowledgement,
              .data = flow.data});
    }
}

void Client::handle(const std::vector<std::uint8_t> &bytes)
{
    Packet packet;
    bool isIntact = false;
    if (!decodePacket(bytes, packet, isIntact) || (!isIntact && !isSystemReset(bytes))) {
        record.line("a client got a packet that its sender did not write so");
        return;
    }
    const int port = packet.destination.port;
    const auto found = m_flows.find(port);
    if (found == m_flows.end()) {
        return;
    }
    auto &flow = found->second;
    if (isSystemReset(bytes)) {
        if (flow.state == FlowState::Opening) {
            flow.state = FlowState::Refused;
            record.line("client " + textOf(address(port)) + " is refused");
            return;
        }
        constexpr std::uint32_t window = 76'800;
        const auto distance
            = std::min(packet.sequence - flow.acknowledgement, flow.acknowledgement - packet.sequence);
        if (flow.state == FlowState::Open && distance <= window) {
            flow.state = FlowState::Reset;
            record.line("client " + textOf(address(port)) + " gets a reset of the system on its open flow");
            if (!flow.id.empty()) {
                finish(flow, false);
            }
        }
        return;
    }
    if (packet.syn && packet.ack) {
        if (flow.state == FlowState::Opening) {
            flow.state = FlowState::Open;
            flow.sequence += 1;
            flow.acknowledgement = packet.sequence + 1;
            record.line("client " + textOf(address(port)) + " has an open flow");
            send(port, flow,
                 {.ack = true, .sequence = flow.sequence, .acknowledgement = flow.acknowledgement});
        }
        return;
    }
    if (flow.state != FlowState::Open || packet.data.empty()) {
        return;
    }
    if (packet.sequence == flow.acknowledgement) {
        const bool isOwn = !flow.id.empty() && packet.data.ends_with("\r\n\r\n" + flow.id);
        if (!isOwn) {
            record.line("client " + textOf(address(port)) + " gets an answer that is not its own");
        }
        flow.acknowledgement += static_cast<std::uint32_t>(packet.data.size());
        if (isOwn) {
            flow.sequence += static_cast<std::uint32_t>(flow.data.size());
            finish(flow, true);
        }
    }
    send(port, flow, {.ack = true, .sequence = flow.sequence, .acknowledgement = flow.acknowledgement});
}

World::World(Site drawn)
    : site(std::move(drawn))
{
}

World::~World()
{
    m_running = false;
    if (m_checks.joinable()) {
        m_checks.join();
    }
    clients.clear();
    router.reset();
    servers.clear();
    agents.clear();
    balancers.clear();
}

Node &World::addBalancer(const std::string &zone, int storeHost)
{
    const auto number = static_cast<int>(balancers.size());
    return *balancers.emplace_back(
        std::make_unique<Node>(site, "front-" + zone + "-" + std::to_string(number + 1), "balancer",
                               FirstBalancer + number, zone, "", storeHost));
}

Server &World::addServer(const std::string &zone, const std::string &service)
{
    const auto number = static_cast<int>(servers.size());
    const auto name = zone + "-" + std::to_string(number + 1);
    agents.push_back(
        std::make_unique<Node>(site, "side-" + name, "agent", FirstSide + number, zone, service));
    return *servers.emplace_back(
        std::make_unique<Server>(site, "server-" + name, FirstSide + number, zone, service));
}

void World::configure(std::uint64_t version, const std::vector<Route> &routes)
{
    Json list = Json::array();
    std::set<std::string> names;
    for (const auto &route : routes) {
        list.push_back({{"Name", "r-" + std::to_string(route.port)},
                        {"Host", textOf(site.ip(VirtualHost))},
                        {"PathPrefix", "/" + std::to_string(route.port) + "/"},
                        {"Type", route.type},
                        {"TimeoutMs", 1000},
                        {"GoalMs", 100},
                        {"Priority", 1},
                        {"Service", route.service},
                        {"Attempts", 2}});
        names.insert(route.service);
    }
    Json services = Json::array();
    for (const auto &name : names) {
        services.push_back({{"Name", name},
                            {"HealthPath", "/healthz"},
                            {"MaxConns", 2000},
                            {"Protocol", "h1"},
                            {"Tls", false},
                            {"ColdS", 2.0},
                            {"ColdPerS", 0.0}});
    }
    const Json config{{"Version", version},
                      {"Routes", list},
                      {"Services", services},
                      {"Limits",
                       {{"MaxHeaderBytes", 16384},
                        {"MaxBodyBytes", 262144},
                        {"HeaderTimeoutMs", 3000},
                        {"IdleTimeoutMs", site.idleTimeoutMs}}}};
    const auto text = config.dump();
    store.put("config", "main", text);
    record.line("operator: config " + std::to_string(version) + " of " + std::to_string(text.size())
                + " bytes acknowledged");
}

bool World::start()
{
    const auto isBusy = [this] {
        return isStoreBusy.load();
    };
    store.serve(
        {site.ip(StoreHost), site.port(StorePort)}, [] { return false; }, isBusy);
    store.serve(
        {site.ip(CutStoreHost), site.port(StorePort)}, [this] { return isStoreCut.load(); },
        [this] { return isStoreBusy || isStoreRefusing; });
    for (auto &node : balancers) {
        node->start();
    }
    for (auto &node : agents) {
        node->start();
    }
    m_checks = std::thread([this] {
        while (m_running) {
            for (auto &node : balancers) {
                node->check();
            }
            for (auto &node : agents) {
                node->check();
            }
            sleepFor(0.005);
        }
        for (auto &node : balancers) {
            node->remove();
        }
        for (auto &node : agents) {
            node->remove();
        }
    });
    for (std::size_t i = 0; i < servers.size(); ++i) {
        servers[i]->start("i-" + std::to_string(i + 1));
    }
    router = std::make_unique<Router>(site, balancers);
    router->start();
    for (std::size_t i = 0; i < site.zones.size(); ++i) {
        clients.push_back(
            std::make_unique<Client>(site, *router, FirstClient + static_cast<int>(i), site.zones[i]));
    }
    for (int i = 0; i < 200; ++i) {
        sleepFor(0.05);
        const bool allReady = std::all_of(balancers.begin(), balancers.end(), [&](const auto &balancer) {
            return router->isInRotation(balancer->name());
        });
        if (allReady) {
            sleepFor(2.5);
            return true;
        }
    }
    return false;
}

Client &World::clientOf(const std::string &zone)
{
    const auto found = std::find(site.zones.begin(), site.zones.end(), zone);
    return *clients.at(static_cast<std::size_t>(found - site.zones.begin()));
}

int World::ownEnds() const
{
    int ends = 0;
    for (const auto &node : balancers) {
        ends += node->ownEnds();
    }
    for (const auto &node : agents) {
        ends += node->ownEnds();
    }
    return ends;
}

} // namespace review
