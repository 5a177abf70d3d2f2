// Stand-ins of the platform, its callers and its backend servers for the
// scripts of cases 6 to 10: the store, servers beside agents, callers with long
// flows, and the platform's start and stop of the project's processes. One
// thread, one event loop. Speaks what the users' PROTOCOL.md says; all
// addresses are loopback addresses.
//
//     review-standin-2 SCENARIO RECORD_FILE     (TROUBLE=0 leaves out the
//     disruption)
//
// Exit status: 0 the rule held, 1 it was broken, 2 the case could not run.
#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;

// Ports are the same on all hosts, as on the platform.
constexpr std::uint16_t packetPort = 8172, outboundPort = 8162, readyPort = 8167, controlPort = 8166,
                        appPort = 8165, internalPort = 7720, storePort = 8169;
constexpr double beatSeconds = 1.2;
constexpr double restartSeconds = 0.6; // From the end of a process to its next start.

double now()
{
    static const auto start = Clock::now();
    return std::chrono::duration<double>(Clock::now() - start).count();
}

std::int64_t unixMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

FILE *recordFile = nullptr;

__attribute__((format(printf, 1, 2))) void record(const char *format, ...)
{
    std::va_list arguments;
    va_start(arguments, format);
    std::fprintf(recordFile, "%8.3f  ", now());
    std::vfprintf(recordFile, format, arguments);
    std::fputc('\n', recordFile);
    va_end(arguments);
    std::fflush(recordFile);
}

[[noreturn]] void giveUp(const std::string &why);

// ---- event loop
// -----------------------------------------------------------------------------------------------

struct Watcher
{
    short events = POLLIN;
    std::function<void(short)> handle;
};

std::map<int, Watcher> watchers;
std::multimap<double, std::function<void()>> timers;

void after(double seconds, std::function<void()> work)
{
    timers.emplace(now() + seconds, std::move(work));
}

void runUntil(const std::function<bool()> &done)
{
    while (!done()) {
        while (!timers.empty() && timers.begin()->first <= now()) {
            auto work = std::move(timers.begin()->second);
            timers.erase(timers.begin());
            work();
        }
        std::vector<pollfd> entries;
        for (const auto &[fd, watcher] : watchers) {
            entries.push_back({.fd = fd, .events = watcher.events, .revents = 0});
        }
        double wait = 0.05;
        if (!timers.empty()) {
            wait = std::min(wait, std::max(0.0, timers.begin()->first - now()));
        }
        const timespec time{.tv_sec = 0, .tv_nsec = static_cast<long>(wait * 1e9)};
        ::ppoll(entries.data(), entries.size(), &time, nullptr);
        for (const auto &entry : entries) {
            const auto found = watchers.find(entry.fd);
            if (entry.revents != 0 && found != watchers.end()) {
                const auto handle = found->second.handle; // May remove itself.
                handle(entry.revents);
            }
        }
    }
}

sockaddr_in addressOf(const std::string &ip, std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

void closeSocket(int &fd)
{
    if (fd >= 0) {
        watchers.erase(fd);
        ::close(fd);
        fd = -1;
    }
}

int openUdp(const std::string &ip, std::uint16_t port)
{
    const int fd = ::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const auto address = addressOf(ip, port);
    const int size = 1 << 20;
    ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
    if (::bind(fd, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
        giveUp("cannot bind UDP " + ip);
    }
    return fd;
}

int openListener(const std::string &ip, std::uint16_t port)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int one = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    const auto address = addressOf(ip, port);
    if (::bind(fd, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0
        || ::listen(fd, 64) != 0) {
        giveUp("cannot listen on " + ip);
    }
    return fd;
}

void sendTo(int fd, const std::vector<std::uint8_t> &bytes, const std::string &ip, std::uint16_t port)
{
    const auto address = addressOf(ip, port);
    [[maybe_unused]] const auto sent = ::sendto(
        fd, bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr *>(&address), sizeof(address));
}

// ---- HTTP
// -----------------------------------------------------------------------------------------------------

struct Request
{
    std::string method, path, query, body;
};

using Respond = std::function<void(int status, const std::string &body)>;
using Handler = std::function<void(const Request &, Respond)>;

struct HttpConnection
{
    int fd = -1;
    std::string input;
};

// Takes a complete request off the input.
bool takeRequest(std::string &input, Request &out)
{
    const auto end = input.find("\r\n\r\n");
    if (end == std::string::npos) {
        return false;
    }
    std::size_t length = 0;
    const auto head = input.substr(0, end + 2);
    for (const char *name : {"Content-Length:", "content-length:"}) {
        if (const auto at = head.find(name); at != std::string::npos) {
            length = std::strtoul(head.c_str() + at + 15, nullptr, 10);
        }
    }
    if (input.size() < end + 4 + length) {
        return false;
    }
    std::istringstream line(head.substr(0, head.find("\r\n")));
    std::string target;
    line >> out.method >> target;
    const auto mark = target.find('?');
    out.path = target.substr(0, mark);
    out.query = mark == std::string::npos ? "" : target.substr(mark + 1);
    out.body = input.substr(end + 4, length);
    input.erase(0, end + 4 + length);
    return true;
}

struct HttpServer
{
    int listener = -1;
    std::map<int, std::shared_ptr<HttpConnection>> connections;

    void open(const std::string &ip, std::uint16_t port, const Handler &handler)
    {
        listener = openListener(ip, port);
        watchers[listener] = {.handle = [this, handler](short) {
            const int fd = ::accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
            if (fd < 0) {
                return;
            }
            const int one = 1;
            ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
            auto connection = std::make_shared<HttpConnection>(HttpConnection{.fd = fd});
            connections[fd] = connection;
            watchers[fd] = {.handle = [this, connection, handler](short) {
                read(connection, handler);
            }};
        }};
    }

    void read(const std::shared_ptr<HttpConnection> &connection, const Handler &handler)
    {
        char buffer[65536];
        const auto size = ::read(connection->fd, buffer, sizeof(buffer));
        if (size <= 0) {
            if (size == 0 || errno != EAGAIN) {
                connections.erase(connection->fd);
                closeSocket(connection->fd);
            }
            return;
        }
        connection->input.append(buffer, static_cast<std::size_t>(size));
        Request request;
        while (connection->fd >= 0 && takeRequest(connection->input, request)) {
            handler(request, [connection](int status, const std::string &body) {
                if (connection->fd < 0) {
                    return;
                }
                const auto text = "HTTP/1.1 " + std::to_string(status)
                    + " Answer\r\nContent-Type: application/json\r\n"
                    + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
                [[maybe_unused]] const auto sent
                    = ::send(connection->fd, text.data(), text.size(), MSG_NOSIGNAL);
            });
        }
    }

    void close()
    {
        closeSocket(listener);
        for (auto &[fd, connection] : connections) {
            closeSocket(connection->fd);
        }
        connections.clear();
    }
};

// One call on a connection of its own; `done` gets the status, 0 without an
// answer within a second.
void httpCall(const std::string &ip, std::uint16_t port, const std::string &method, const std::string &path,
              const std::string &body, std::function<void(int status)> done)
{
    struct Call
    {
        int fd = -1;
        bool sent = false;
        std::string output, input;
        std::function<void(int)> done;
    };

    auto call = std::make_shared<Call>();
    call->fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    call->done = std::move(done);
    call->output = method + " " + path + " HTTP/1.1\r\nHost: " + ip + "\r\nContent-Type: application/json\r\n"
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    const auto finish = [call](int status) {
        if (call->fd < 0) {
            return;
        }
        closeSocket(call->fd);
        call->done(status);
    };
    const auto address = addressOf(ip, port);
    ::connect(call->fd, reinterpret_cast<const sockaddr *>(&address), sizeof(address));
    watchers[call->fd]
        = {.events = POLLOUT, .handle = [call, finish](short) {
               if (!call->sent) {
                   int error = 0;
                   socklen_t size = sizeof(error);
                   ::getsockopt(call->fd, SOL_SOCKET, SO_ERROR, &error, &size);
                   if (error != 0
                       || ::send(call->fd, call->output.data(), call->output.size(), MSG_NOSIGNAL) < 0) {
                       finish(0);
                       return;
                   }
                   call->sent = true;
                   watchers[call->fd].events = POLLIN;
                   return;
               }
               char buffer[8192];
               const auto size = ::read(call->fd, buffer, sizeof(buffer));
               if (size <= 0) {
                   finish(0);
                   return;
               }
               call->input.append(buffer, static_cast<std::size_t>(size));
               if (call->input.find("\r\n\r\n") != std::string::npos) {
                   finish(std::atoi(call->input.c_str() + 9));
               }
           }};
    after(1.0, [finish] { finish(0); });
}

// ---- the platform's store
// -------------------------------------------------------------------------------------

struct Store
{
    struct Stored
    {
        std::uint64_t revision = 0;
        Json spec;
    };

    struct Event
    {
        std::uint64_t revision = 0;
        std::string kind;
        Json event;
    };

    struct Watch
    {
        std::string kind;
        std::uint64_t since = 0;
        Respond respond;
    };

    HttpServer http;
    bool isRejecting = false; // Answers every call with 503; nothing is done.
    std::uint64_t revision = 10;
    std::map<std::string, std::map<std::string, Stored>> kinds;
    std::vector<Event> events;
    std::map<int, Watch> watches;
    int lastWatch = 0;

    static Json objectJson(const std::string &name, const Stored &stored)
    {
        return {{"meta",
                 {{"Name", name},
                  {"Rev", stored.revision},
                  {"Created", 1},
                  {"Finalizers", Json::array()},
                  {"Deleting", false}}},
                {"spec", stored.spec},
                {"status", nullptr}};
    }

    void put(const std::string &kind, const std::string &name, const Json &spec)
    {
        auto &stored = kinds[kind][name];
        stored = {.revision = ++revision, .spec = spec};
        events.push_back({revision, kind, {{"Deleted", false}, {"Object", objectJson(name, stored)}}});
        notify();
    }

    void erase(const std::string &kind, const std::string &name)
    {
        auto stored = kinds[kind][name];
        kinds[kind].erase(name);
        stored.revision = ++revision;
        events.push_back({revision, kind, {{"Deleted", true}, {"Object", objectJson(name, stored)}}});
        notify();
    }

    bool answerWatch(const Watch &watch, bool evenIfEmpty)
    {
        Json list = Json::array();
        for (const auto &event : events) {
            if (event.revision > watch.since && event.kind == watch.kind) {
                list.push_back(event.event);
            }
        }
        if (list.empty() && !evenIfEmpty) {
            return false;
        }
        watch.respond(200, Json{{"events", list}, {"StoreRevision", revision}}.dump());
        return true;
    }

    void notify()
    {
        std::erase_if(watches, [this](const auto &entry) { return answerWatch(entry.second, false); });
    }

    static std::string parameter(const std::string &query, const std::string &name)
    {
        std::istringstream parts(query);
        for (std::string part; std::getline(parts, part, '&');) {
            if (part.starts_with(name + "=")) {
                return part.substr(name.size() + 1);
            }
        }
        return {};
    }

    void handle(const Request &request, const Respond &respond)
    {
        if (isRejecting) {
            respond(503, "{}");
            return;
        }
        const std::string prefix = "/objects/";
        const auto rest = request.path.starts_with(prefix) ? request.path.substr(prefix.size()) : "";
        const auto slash = rest.find('/');
        const auto kind = rest.substr(0, slash);
        auto name = slash == std::string::npos ? std::string() : rest.substr(slash + 1);
        auto &objects = kinds[kind];
        if (request.method == "GET" && name.empty()) {
            list(kind, request, respond);
            return;
        }
        if (request.method == "GET") {
            const auto found = objects.find(name);
            respond(found == objects.end() ? 404 : 200,
                    found == objects.end() ? "{}" : objectJson(name, found->second).dump());
            return;
        }
        const auto body = Json::parse(request.body, nullptr, false);
        const auto meta = body.is_object() ? body.value("meta", Json::object()) : Json::object();
        std::string rev = parameter(request.query, "Rev");
        if (rev.empty() && meta.contains("Rev")) {
            rev = std::to_string(meta["Rev"].get<std::uint64_t>());
        }
        if (request.method == "POST") {
            name = meta.value("Name", std::string());
        }
        const auto found = objects.find(name);
        if (request.method != "POST" && found == objects.end()) {
            respond(404, "{}");
            return;
        }
        const bool conflicts = request.method == "POST"
            ? found != objects.end()
            : !rev.empty() && rev != std::to_string(found->second.revision);
        if (conflicts) {
            respond(409, objectJson(name, found->second).dump());
            return;
        }
        if (request.method == "DELETE") {
            erase(kind, name);
            respond(200, "{}");
            return;
        }
        put(kind, name, body.value("spec", Json()));
        respond(request.method == "POST" ? 201 : 200, objectJson(name, kinds[kind][name]).dump());
    }

    void list(const std::string &kind, const Request &request, const Respond &respond)
    {
        const auto since = parameter(request.query, "Watch");
        if (since.empty()) {
            Json items = Json::array();
            for (const auto &[name, stored] : kinds[kind]) {
                items.push_back(objectJson(name, stored));
            }
            respond(200, Json{{"items", items}, {"More", false}, {"StoreRevision", revision}}.dump());
            return;
        }
        const Watch watch{kind, std::strtoull(since.c_str(), nullptr, 10), respond};
        if (answerWatch(watch, false)) {
            return;
        }
        const auto number = ++lastWatch;
        watches[number] = watch;
        after(std::atof(parameter(request.query, "WaitMs").c_str()) / 1000, [this, number] {
            if (const auto found = watches.find(number); found != watches.end()) {
                answerWatch(found->second, true);
                watches.erase(found);
            }
        });
    }

    void open(const std::string &ip)
    {
        http.open(ip, storePort,
                  [this](const Request &request, const Respond &respond) { handle(request, respond); });
    }
};

// ---- packets
// --------------------------------------------------------------------------------------------------

constexpr std::uint8_t flagAck = 1, flagRst = 2, flagBounced = 4, flagSyn = 32, flagFin = 128;

struct Packet
{
    std::uint32_t src = 0, dst = 0;
    std::uint16_t sport = 0, dport = 0;
    std::uint8_t flags = 0;
    std::uint32_t sum = 0, seq = 0, ack = 0;
    std::string data;
};

void put16(std::vector<std::uint8_t> &bytes, std::size_t at, std::uint16_t value)
{
    bytes[at] = static_cast<std::uint8_t>(value >> 8);
    bytes[at + 1] = static_cast<std::uint8_t>(value);
}

void put32(std::vector<std::uint8_t> &bytes, std::size_t at, std::uint32_t value)
{
    put16(bytes, at, static_cast<std::uint16_t>(value >> 16));
    put16(bytes, at + 2, static_cast<std::uint16_t>(value));
}

std::uint32_t get32(const std::uint8_t *bytes)
{
    return std::uint32_t{bytes[0]} << 24 | std::uint32_t{bytes[1]} << 16 | std::uint32_t{bytes[2]} << 8
        | bytes[3];
}

std::uint16_t get16(const std::uint8_t *bytes)
{
    return static_cast<std::uint16_t>(bytes[0] << 8 | bytes[1]);
}

// Keyed sum over all fields but echo, pad and BOUNCED; never 0, which marks a
// reset of the system.
std::uint32_t sumOf(std::vector<std::uint8_t> bytes)
{
    bytes[14] &= static_cast<std::uint8_t>(~flagBounced);
    bytes[15] = 0;
    put32(bytes, 16, 0);
    put32(bytes, 28, 0);
    std::uint64_t hash = 0x9e3779b97f4a7c15ULL;
    for (const auto byte : bytes) {
        hash = (hash ^ byte) * 0x100000001b3ULL;
        hash ^= hash >> 29;
    }
    const auto sum = static_cast<std::uint32_t>(hash ^ (hash >> 32));
    return sum == 0 ? 1 : sum;
}

std::vector<std::uint8_t> encode(const Packet &packet)
{
    std::vector<std::uint8_t> bytes(32 + packet.data.size());
    put16(bytes, 0, static_cast<std::uint16_t>(packet.data.size()));
    put16(bytes, 2, packet.dport);
    put32(bytes, 4, packet.src);
    put16(bytes, 8, packet.sport);
    put32(bytes, 10, packet.dst);
    bytes[14] = packet.flags;
    put32(bytes, 20, packet.seq);
    put32(bytes, 24, packet.ack);
    std::copy(packet.data.begin(), packet.data.end(), bytes.begin() + 32);
    put32(bytes, 16, sumOf(bytes));
    return bytes;
}

bool decode(const std::vector<std::uint8_t> &bytes, Packet &out)
{
    if (bytes.size() < 32 || bytes.size() != 32U + get16(bytes.data())) {
        return false;
    }
    out = {.src = get32(&bytes[4]),
           .dst = get32(&bytes[10]),
           .sport = get16(&bytes[8]),
           .dport = get16(&bytes[2]),
           .flags = bytes[14],
           .sum = get32(&bytes[16]),
           .seq = get32(&bytes[20]),
           .ack = get32(&bytes[24]),
           .data = {bytes.begin() + 32, bytes.end()}};
    return true;
}

std::uint32_t ipNumber(const std::string &ip)
{
    return ntohl(addressOf(ip, 0).sin_addr.s_addr);
}

std::string ipText(std::uint32_t number)
{
    char text[INET_ADDRSTRLEN];
    const in_addr address{.s_addr = htonl(number)};
    return ::inet_ntop(AF_INET, &address, text, sizeof(text));
}

using FlowId = std::pair<std::uint32_t,
                         std::uint16_t>; // Caller's address and port; there is one route.

std::string flowText(const FlowId &flow)
{
    return ipText(flow.first) + ":" + std::to_string(flow.second);
}

bool receive(int fd, std::vector<std::uint8_t> &bytes)
{
    bytes.resize(2048);
    const auto size = ::recv(fd, bytes.data(), bytes.size(), MSG_DONTWAIT);
    bytes.resize(size > 0 ? static_cast<std::size_t>(size) : 0);
    return size > 0;
}

// ---- backend servers
// ------------------------------------------------------------------------------------------

struct Server
{
    struct Flow
    {
        std::uint32_t initialSequence = 0, next = 0, expected = 0;
        bool open = false;
        std::uint32_t lastRequest = 0; // Sequence of the last request that was run.
        std::string lastAnswer; // To that request, sent again for its copies.
    };

    std::string ip, service, zone, id;
    int number = 0; // Lifetime, counted over all servers.
    bool running = false, draining = false, beats = true;
    std::int64_t born = 0,
                 clockAhead = 0; // Unix time of the start, and its error, in milliseconds.
    double coldUntil = 0, lastAckAt = -1;
    std::uint64_t sequence = 0;
    int udp = -1;
    HttpServer health;
    std::map<FlowId, Flow> flows;
    int run = 0; // Requests run in this lifetime.
    std::function<void(int status)> beatDone;

    std::string path(const char *call) const
    {
        return "/instances/" + id + "/" + call;
    }

    Json said(const char *state)
    {
        const double coldLeft = std::max(0.0, coldUntil - now());
        return {{"Service", service},
                {"Addr", ip + ":" + std::to_string(appPort)},
                {"Zone", zone},
                {"Version", "v1"},
                {"Slots", 4},
                {"State", state},
                {"ColdLeftMs", static_cast<int>(coldLeft * 1000)},
                {"Seq", ++sequence},
                {"born", born}};
    }

    void beat()
    {
        const auto lifetime = number;
        const auto body = said(draining ? "draining" : "ready").dump();
        httpCall(ip, controlPort, "POST", path("heartbeat"), body, [this, lifetime](int status) {
            if (lifetime != number || !running) {
                return;
            }
            if (status == 200) {
                lastAckAt = now();
            }
            if (beatDone) {
                beatDone(status);
            }
        });
    }

    void scheduleBeat()
    {
        if (running && beats) {
            beat();
        }
        after(beatSeconds, [this, lifetime = number] {
            if (lifetime == number && running) {
                scheduleBeat();
            }
        });
    }

    void start(const std::string &newId, bool cold)
    {
        static int lifetimes = 0;
        number = ++lifetimes;
        id = newId;
        running = true;
        draining = false;
        beats = true;
        born = unixMs() + clockAhead;
        sequence = 0;
        run = 0;
        coldUntil = cold ? now() + 2.0 : 0;
        udp = openUdp(ip, appPort);
        watchers[udp] = {.handle = [this](short) {
            std::vector<std::uint8_t> bytes;
            while (udp >= 0 && receive(udp, bytes)) {
                handlePacket(bytes);
            }
        }};
        health.open(ip, appPort,
                    [this](const Request &, const Respond &respond) { respond(draining ? 503 : 200, "{}"); });
        record("server %s (lifetime %d, %s) starts at %s, born %lld", id.c_str(), number, service.c_str(),
               ip.c_str(), static_cast<long long>(born));
        scheduleBeat();
    }

    void end(const char *how)
    {
        record("server %s (lifetime %d) %s with %zu flows; it has run %d requests", id.c_str(), number, how,
               flows.size(), run);
        running = false;
        closeSocket(udp);
        health.close();
        flows.clear();
    }

    void send(const Packet &to, Packet packet) const
    {
        packet.src = to.dst;
        packet.sport = to.dport;
        packet.dst = to.src;
        packet.dport = to.sport;
        sendTo(udp, encode(packet), ip, outboundPort);
    }

    void handlePacket(std::vector<std::uint8_t> &bytes);
};

// ---- the project's processes
// ----------------------------------------------------------------------------------

struct Node
{
    std::string name, ip, run, settingsPath, logPath;
    pid_t pid = -1;
    bool isExpectedToEnd = false, isRemoved = false;
    int ends = 0, starts = 0;

    void start()
    {
        std::vector<std::string> words;
        std::istringstream text(run);
        for (std::string word; text >> word;) {
            words.push_back(word);
        }
        isExpectedToEnd = false;
        ++starts;
        pid = ::fork();
        if (pid != 0) {
            return;
        }
        ::prctl(PR_SET_PDEATHSIG,
                SIGKILL); // Ends with the stand-in, however that ends.
        std::vector<char *> arguments;
        for (auto &word : words) {
            arguments.push_back(word.data());
        }
        arguments.push_back(nullptr);
        std::string boot = "ORIOLELEVER_BOOT=" + settingsPath;
        std::string path = "PATH=/usr/bin:/bin";
        char *environment[] = {boot.data(), path.data(), nullptr};
        const int log = ::open(logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        ::dup2(log, 1);
        ::dup2(log, 2);
        ::execve(arguments[0], arguments.data(), environment);
        ::_exit(127);
    }
};

// ---- callers
// --------------------------------------------------------------------------------------------------

struct CallerFlow
{
    std::uint16_t port = 0;
    bool open = false, waiting = false; // Whether a request waits for its answer.
    std::uint32_t next = 0, expected = 0, requestSequence = 0;
    std::string request;
    int attempt = 0, number = 0;
    double openedAt = 0, requestAt = 0, answeredAt = 0;
};

struct Caller
{
    std::string ip;
    int zone = 0; // Index of the balancer of its zone.
    std::uint16_t virtualPort = 8080; // Of the route that it uses.
    bool isBrief = false; // Opens a flow for each request.
    int udp = -1;
    std::uint16_t lastPort = 40000;
    std::map<std::uint16_t, CallerFlow> flows;
};

// What has become of a request.
struct RequestRecord
{
    double sentAt = 0;
    double runAt = 0; // 0 if it has not run.
    std::string server; // That ran it.
    bool isAnswered = false;
};

// Packets of an open flow that have reached other servers since the last one
// that reached its own.
struct Astray
{
    double since = 0;
    int packets = 0;
    bool counted = false;
};

struct World
{
    std::string folder, base;
    std::mt19937 random{7};
    Store store;
    std::vector<std::unique_ptr<Node>> nodes;
    std::vector<std::unique_ptr<Server>> servers;
    std::vector<std::unique_ptr<Caller>> callers;
    std::uint32_t virtualIp = 0;
    bool trouble = true, sending = false;
    double pauseFrom = 0.3, pauseTo = 0.9; // Between requests of a flow, seconds.
    int openFlows = 0, answered = 0, lateRequests = 0, wrong = 0, brokenFlows = 0, legalResets = 0, twice = 0,
        misrouted = 0;
    std::vector<std::string> balancers; // Addresses, one in each zone.
    std::vector<int> misses; // Of a balancer's /ready; two of them take it out of rotation.
    std::map<FlowId, Astray> astray;
    std::map<FlowId, int> holder; // Lifetime of the server that a flow is open at.
    std::vector<std::string> services; // Of the servers, in their order; empty if all are of one.
    std::map<std::uint16_t, std::string> routes{{8080, "sportello"}}; // By virtual port.
    std::map<std::string, RequestRecord> requests;
};

World *world = nullptr;

void killAll()
{
    for (auto &node : world->nodes) {
        if (node->pid > 0) {
            ::kill(node->pid, SIGKILL);
            ::waitpid(node->pid, nullptr, 0);
            node->pid = -1;
        }
    }
}

void giveUp(const std::string &why)
{
    record("could not run: %s", why.c_str());
    std::fprintf(stderr, "could not run: %s\n", why.c_str());
    killAll();
    std::exit(2);
}

Server *serverOfLifetime(int lifetime)
{
    for (auto &server : world->servers) {
        if (server->number == lifetime && server->running) {
            return server.get();
        }
    }
    return nullptr;
}

constexpr double flowSeconds = 2.0; // FlowMs.

// A packet of an open flow has reached a server: the flow's own, or another
// one.
void noteArrival(const FlowId &key, const Server &at)
{
    auto &w = *world;
    const auto held = w.holder.find(key);
    if (held == w.holder.end() || serverOfLifetime(held->second) == nullptr) {
        w.astray.erase(key);
        return;
    }
    const bool isOwn = held->second == at.number;
    auto found = w.astray.find(key);
    if (found == w.astray.end()) {
        if (!isOwn) {
            w.astray[key] = {.since = now(), .packets = 1, .counted = false};
        }
        return;
    }
    auto &astray = found->second;
    astray.packets += isOwn ? 0 : 1;
    if (!astray.counted && astray.packets >= 3 && now() - astray.since >= flowSeconds) {
        astray.counted = true;
        ++w.brokenFlows;
        record("FLOW: for %.0f ms %d packets of %s have reached other servers and "
               "none its own (lifetime %d)",
               (now() - astray.since) * 1000, astray.packets, flowText(key).c_str(), held->second);
    }
    if (isOwn) {
        w.astray.erase(found);
    }
}

void Server::handlePacket(std::vector<std::uint8_t> &bytes)
{
    Packet packet;
    if (!decode(bytes, packet) || packet.sum != sumOf(bytes)) {
        record("UNASKED: server %s got a packet that its sender did not write so", id.c_str());
        ++world->wrong;
        return;
    }
    const FlowId key{packet.src, packet.sport};
    noteArrival(key, *this);
    if ((packet.flags & flagSyn) != 0) {
        auto [found, isNew] = flows.try_emplace(key);
        auto &flow = found->second;
        if (isNew) {
            flow.initialSequence = static_cast<std::uint32_t>(world->random());
            flow.next = flow.initialSequence + 1;
            flow.expected = packet.seq + 1;
        }
        send(packet, {.flags = flagSyn | flagAck, .seq = flow.initialSequence, .ack = flow.expected});
        return;
    }
    const auto found = flows.find(key);
    if (found == flows.end() || (!found->second.open && packet.ack != found->second.initialSequence + 1)) {
        bytes[14] |= flagBounced;
        bytes[15] = 0;
        sendTo(udp, bytes, ip, outboundPort);
        return;
    }
    auto &flow = found->second;
    if ((packet.flags & (flagRst | flagFin)) != 0) {
        world->holder.erase(key);
        flows.erase(found);
        return;
    }
    if (!flow.open) {
        flow.open = true;
        world->holder[key] = number;
        record("flow %s is open at server %s (lifetime %d)", flowText(key).c_str(), id.c_str(), number);
    }
    if (packet.data.empty()) {
        return;
    }
    if (packet.seq == flow.expected) {
        auto &request = world->requests[packet.data];
        if (request.runAt > 0) {
            record("request %s runs twice", packet.data.c_str());
            ++world->twice;
        }
        request.runAt = now();
        request.server = id;
        ++run;
        if (world->routes[packet.dport] != service) {
            ++world->misrouted;
            record("ROUTE: request %s of the route to %s runs at server %s of %s", packet.data.c_str(),
                   world->routes[packet.dport].c_str(), id.c_str(), service.c_str());
        }
        flow.expected += static_cast<std::uint32_t>(packet.data.size());
        flow.lastRequest = packet.seq;
        flow.lastAnswer = "answer of " + id + " to " + packet.data;
        after(0.015, [this, key, packet, lifetime = number] {
            const auto position = flows.find(key);
            if (lifetime != number || !running || position == flows.end()) {
                return;
            }
            auto &running = position->second;
            send(
                packet,
                {.flags = flagAck, .seq = running.next, .ack = running.expected, .data = running.lastAnswer});
            running.next += static_cast<std::uint32_t>(running.lastAnswer.size());
        });
    } else if (packet.seq == flow.lastRequest) {
        send(packet,
             {.flags = flagAck,
              .seq = flow.next - static_cast<std::uint32_t>(flow.lastAnswer.size()),
              .ack = flow.expected,
              .data = flow.lastAnswer});
    }
}

void openFlow(Caller &caller);

// The platform's router: the balancer of the caller's zone, or the next one in
// rotation.
std::string routerChoice(const Caller &caller)
{
    const auto count = static_cast<int>(world->balancers.size());
    for (int i = 0; i < count; ++i) {
        const int index = (caller.zone + i) % count;
        if (world->misses[index] < 2) {
            return world->balancers[index];
        }
    }
    return world->balancers[caller.zone];
}

void sendFrom(Caller &caller, const CallerFlow &flow, Packet packet)
{
    packet.src = ipNumber(caller.ip);
    packet.sport = flow.port;
    packet.dst = world->virtualIp;
    packet.dport = caller.virtualPort;
    sendTo(caller.udp, encode(packet), routerChoice(caller), packetPort);
}

double pause()
{
    return std::uniform_real_distribution<double>(world->pauseFrom, world->pauseTo)(world->random);
}

void reopen(Caller &caller, std::uint16_t port)
{
    caller.flows.erase(port);
    after(0.1, [&caller] { openFlow(caller); });
}

// Sends the request again after 200 ms, doubled up to 1.6 s, each time through
// the same balancer.
void sendRequest(Caller &caller, std::uint16_t port, int number, double delay)
{
    const auto found = caller.flows.find(port);
    if (found == caller.flows.end() || !found->second.waiting || found->second.number != number) {
        return;
    }
    auto &flow = found->second;
    if (now() - flow.requestAt > 5.0) {
        record("request %s has no answer in 5 s", flow.request.c_str());
        ++world->lateRequests;
        reopen(caller, port);
        return;
    }
    sendFrom(caller, flow,
             {.flags = flagAck, .seq = flow.requestSequence, .ack = flow.expected, .data = flow.request});
    after(delay,
          [&caller, port, number, delay] { sendRequest(caller, port, number, std::min(1.6, 2 * delay)); });
}

void startRequest(Caller &caller, std::uint16_t port)
{
    const auto found = caller.flows.find(port);
    if (found == caller.flows.end() || found->second.waiting || !world->sending) {
        return;
    }
    auto &flow = found->second;
    if (caller.isBrief && flow.number == 1) {
        sendFrom(caller, flow, {.flags = flagFin | flagAck, .seq = flow.next, .ack = flow.expected});
        caller.flows.erase(found);
        openFlow(caller);
        return;
    }
    flow.waiting = true;
    ++flow.number;
    flow.request = caller.ip + ":" + std::to_string(port) + "#" + std::to_string(flow.number);
    flow.requestSequence = flow.next;
    flow.next += static_cast<std::uint32_t>(flow.request.size());
    flow.requestAt = now();
    world->requests[flow.request].sentAt = now();
    sendRequest(caller, port, flow.number, 0.2);
}

void openFlow(Caller &caller)
{
    if (!world->sending) {
        return;
    }
    const auto port = ++caller.lastPort;
    auto &flow = caller.flows[port];
    flow = {.port = port, .next = static_cast<std::uint32_t>(world->random())};
    const auto initial = flow.next++;
    for (const auto &[delay, copy] : {std::pair{0.0, 0U}, {0.2, 1U}, {0.6, 2U}}) {
        after(delay, [&caller, port, initial, copy = copy] {
            const auto found = caller.flows.find(port);
            if (found != caller.flows.end() && !found->second.open) {
                sendFrom(caller, found->second, {.flags = flagSyn, .seq = initial, .ack = copy});
            }
        });
    }
    after(1.4, [&caller, port] {
        if (const auto found = caller.flows.find(port); found != caller.flows.end() && !found->second.open) {
            reopen(caller, port);
        }
    });
}

void handleReset(Caller &caller, CallerFlow &flow, const Packet &packet)
{
    const FlowId key{packet.dst, packet.dport};
    const bool isSystems = packet.sum == 0;
    if (flow.open && std::abs(static_cast<std::int32_t>(packet.seq - flow.expected)) > 76'800) {
        return;
    }
    const auto held = world->holder.find(key);
    const auto *server = held == world->holder.end() ? nullptr : serverOfLifetime(held->second);
    const bool isHeld = server != nullptr && server->flows.contains(key);
    // The rule does not count flows older than FlowTtlS or idle for longer than IdleTimeoutMs.
    constexpr double longestLife = 60;
    constexpr double longestIdle = 15;
    const bool isExcused = now() - flow.openedAt > longestLife
        || now() - std::max({flow.openedAt, flow.answeredAt, flow.requestAt}) > longestIdle;
    if (isSystems && flow.open && isHeld && isExcused) {
        record("caller of %s gets a reset; not counted, as the flow is old or idle", flowText(key).c_str());
    } else if (isSystems && flow.open && isHeld) {
        ++world->brokenFlows;
        record("FLOW: caller of %s gets a reset that its server did not send; "
               "server %s (lifetime %d) lives "
               "and has the flow",
               flowText(key).c_str(), server->id.c_str(), server->number);
    } else if (flow.open) {
        ++world->legalResets;
        record("caller of %s gets a reset; its server has ended", flowText(key).c_str());
    }
    reopen(caller, flow.port);
}

void handleAnswer(Caller &caller, const std::vector<std::uint8_t> &bytes)
{
    Packet packet;
    if (!decode(bytes, packet)) {
        return;
    }
    const bool isSystems = (packet.flags & flagRst) != 0 && packet.sum == 0;
    if (!isSystems && packet.sum != sumOf(bytes)) {
        record("MIXED: caller %s got a packet that its sender did not write so", caller.ip.c_str());
        ++world->wrong;
        return;
    }
    const auto found = caller.flows.find(packet.dport);
    if (found == caller.flows.end()) {
        return;
    }
    auto &flow = found->second;
    if ((packet.flags & flagRst) != 0) {
        handleReset(caller, flow, packet);
        return;
    }
    if ((packet.flags & flagSyn) != 0) {
        if (!flow.open) {
            flow.open = true;
            flow.openedAt = now();
            flow.expected = packet.seq + 1;
            ++world->openFlows;
            startRequest(caller, flow.port);
        }
        return;
    }
    if (!packet.data.empty() && packet.seq == flow.expected && flow.waiting) {
        if (!packet.data.ends_with(" to " + flow.request)) {
            record("MIXED: caller %s got a foreign answer", caller.ip.c_str());
            ++world->wrong;
            return;
        }
        flow.expected += static_cast<std::uint32_t>(packet.data.size());
        flow.waiting = false;
        ++world->answered;
        flow.answeredAt = now();
        auto &request = world->requests[flow.request];
        request.isAnswered = true;
        record("request %s: sent %.3f, run %.3f by %s, answered", flow.request.c_str(), request.sentAt,
               request.runAt, request.server.c_str());
        after(caller.isBrief ? 0.03 : pause(), [&caller, port = flow.port] { startRequest(caller, port); });
    }
    if (!packet.data.empty()) {
        sendFrom(caller, flow, {.flags = flagAck, .seq = flow.next, .ack = flow.expected});
    }
}

// ---- deployment
// -----------------------------------------------------------------------------------------------

// The command of a role from the deploy file.
std::string deployedCommand(const std::string &role)
{
    std::ifstream file("deploy/system.toml");
    bool inRole = false;
    for (std::string line; std::getline(file, line);) {
        if (line.starts_with("[")) {
            inRole = line == "[roles." + role + "]";
        } else if (inRole && line.starts_with("run = \"")) {
            return line.substr(7, line.rfind('"') - 7);
        }
    }
    giveUp("no role " + role + " in deploy/system.toml");
}

void addNode(const std::string &role, const std::string &name, const std::string &ip, const std::string &zone,
             const std::string &service)
{
    auto &w = *world;
    const auto at = [&](std::uint16_t port) {
        return ip + ":" + std::to_string(port);
    };
    const bool isAgent = role == "agent";
    Json settings{
        {"Node", name},
        {"Role", role},
        {"MachineClass", isAgent ? "side" : "front"},
        {"Serves", {isAgent ? "side" : "front"}},
        {"Ip", ip},
        {"Zone", zone},
        {"Region", "r"},
        {"Zones", {{"zone-a", "r"}, {"zone-b", "r"}}},
        {"Listen", {{"DgramAddr", at(packetPort)}, {"Ready", at(readyPort)}}},
        {"InternalPorts", {internalPort, internalPort + 15}},
        {"Bootstrap", true},
        {"DataDir", nullptr},
        {"BeatMs", 1200},
        {"Bounds",
         {{"ContactMs", 4000},
          {"DrainMs", 3000},
          {"GraceS", 6},
          {"ApplyMs", 3000},
          {"EvacMs", 5000},
          {"WarmupFactor", 1.5},
          {"ColdSlack", 5},
          {"FlowMs", 2000},
          {"FlowTtlS", 60}}},
        {"Hash", "steady"},
        {"DeploymentMode", "agent"},
        {"platform", {{"Addr", w.base + "1.1:" + std::to_string(storePort)}, {"DeploymentMode", "objects"}}}};
    if (isAgent) {
        settings["Listen"]["outbound"] = at(outboundPort);
        settings["Listen"]["Control"] = at(controlPort);
        settings["app"] = at(appPort);
        settings["Service"] = service;
    }
    auto node = std::make_unique<Node>();
    node->name = name;
    node->ip = ip;
    node->run = deployedCommand(role);
    node->settingsPath = w.folder + "/" + name + ".json";
    node->logPath = w.folder + "/" + name + ".log";
    std::ofstream(node->settingsPath) << settings.dump(1);
    w.nodes.push_back(std::move(node));
}

Node &nodeOf(const std::string &name)
{
    for (auto &node : world->nodes) {
        if (node->name == name) {
            return *node;
        }
    }
    giveUp("no node " + name);
}

// Planned work: SIGTERM, and a new start soon after the process has ended.
void stopAndStart(Node &node)
{
    record("%s gets SIGTERM (planned work)", node.name.c_str());
    node.isExpectedToEnd = true;
    ::kill(node.pid, SIGTERM);
}

void reapProcesses()
{
    for (auto &node : world->nodes) {
        int status = 0;
        if (node->pid <= 0 || ::waitpid(node->pid, &status, WNOHANG) != node->pid) {
            continue;
        }
        node->pid = -1;
        if (!node->isExpectedToEnd) {
            ++node->ends;
        }
        record("%s has ended (status %d%s)", node->name.c_str(), status,
               node->isExpectedToEnd ? "" : ", by itself");
        if (node->isRemoved) {
            continue;
        }
        after(restartSeconds, [&node = *node] {
            node.start();
            record("%s starts again", node.name.c_str());
        });
    }
    after(0.02, reapProcesses);
}

// The first of the loopback networks 127.20.0.0/16 to 127.219.0.0/16, from one
// that the process id selects, whose ports are free.
std::string freeNetwork()
{
    for (int i = 0; i < 200; ++i) {
        const auto base = "127." + std::to_string(20 + (::getpid() + i) % 200) + ".";
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const auto address = addressOf(base + "1.1", storePort);
        const bool isFree = ::bind(fd, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0;
        ::close(fd);
        if (isFree) {
            return base;
        }
    }
    giveUp("no free loopback network");
}

// The router's probes, twice a second.
void probeBalancers()
{
    for (std::size_t i = 0; i < world->balancers.size(); ++i) {
        httpCall(world->balancers[i], readyPort, "GET", "/ready", "",
                 [i](int status) { world->misses[i] = status == 200 ? 0 : world->misses[i] + 1; });
    }
    after(0.5, probeBalancers);
}

// Agents of one service in two zones, two balancers, and callers.
void deploy(int agents, int callers)
{
    auto &w = *world;
    w.base = freeNetwork();
    w.virtualIp = ipNumber(w.base + "250.1");
    w.store.open(w.base + "1.1");
    Json routes = Json::array();
    Json services = Json::array();
    for (const auto &[port, service] : w.routes) {
        routes.push_back({{"Name", "r-" + service},
                          {"Host", w.base + "250.1"},
                          {"PathPrefix", "/" + std::to_string(port) + "/"},
                          {"Type", "non_idempotent"},
                          {"TimeoutMs", 1200},
                          {"GoalMs", 120},
                          {"Priority", 1},
                          {"Service", service},
                          {"Attempts", 2}});
        services.push_back({{"Name", service},
                            {"HealthPath", "/healthz"},
                            {"MaxConns", 2000},
                            {"ColdS", 2.0},
                            {"ColdPerS", 0.0}});
    }
    w.store.put(
        "config", "main",
        {{"Version", 7}, {"Routes", routes}, {"Services", services}, {"Limits", {{"IdleTimeoutMs", 15000}}}});
    addNode("balancer", "front-zone-a-1", w.base + "2.1", "zone-a", "");
    addNode("balancer", "front-zone-b-1", w.base + "2.2", "zone-b", "");
    w.balancers = {w.base + "2.1", w.base + "2.2"};
    w.misses = {2, 2};
    for (int i = 0; i < agents; ++i) {
        const std::string zone = i < (agents + 1) / 2 ? "zone-a" : "zone-b";
        const auto ip = w.base + "3." + std::to_string(i + 1);
        const auto service = w.services.empty() ? "sportello" : w.services[static_cast<std::size_t>(i)];
        addNode("agent", "side-" + std::to_string(i + 1), ip, zone, service);
        auto server = std::make_unique<Server>();
        server->ip = ip;
        server->service = service;
        server->zone = zone;
        w.servers.push_back(std::move(server));
    }
    for (int i = 0; i < callers; ++i) {
        auto caller = std::make_unique<Caller>();
        caller->ip = w.base + "4." + std::to_string(i + 1);
        caller->zone = i % 2;
        caller->udp = openUdp(caller->ip, packetPort);
        watchers[caller->udp] = {.handle = [&caller = *caller](short) {
            std::vector<std::uint8_t> bytes;
            while (receive(caller.udp, bytes)) {
                handleAnswer(caller, bytes);
            }
        }};
        w.callers.push_back(std::move(caller));
    }
    for (auto &node : w.nodes) {
        node->start();
    }
    reapProcesses();
    probeBalancers();
    after(0.3, [&w] {
        for (std::size_t i = 0; i < w.servers.size(); ++i) {
            w.servers[i]->start("i-" + std::to_string(i + 1) + "f3a91c2", false);
        }
    });
}

// Waits until both balancers are ready and all servers have had a heartbeat
// acknowledged.
void waitForDeployment()
{
    auto &w = *world;
    runUntil([&] {
        bool ready = w.misses[0] == 0 && w.misses[1] == 0;
        for (const auto &server : w.servers) {
            ready = ready && server->lastAckAt > 0;
        }
        if (now() > 30) {
            giveUp("the deployment is not ready after 30 s");
        }
        return now() > 6 && ready;
    });
    record("both balancers are ready, all servers have registered");
}

void waitFor(double seconds)
{
    const double until = now() + seconds;
    runUntil([until] { return now() >= until; });
}

void startTraffic(int flowsEach = 3)
{
    auto &w = *world;
    w.sending = true;
    for (std::size_t i = 0; i < w.callers.size(); ++i) {
        for (int flow = 0; flow < flowsEach; ++flow) {
            after(0.02 * static_cast<double>(i) + 0.2 * flow,
                  [&caller = *w.callers[i]] { openFlow(caller); });
        }
    }
}

// Flows that are open at the server now.
std::size_t flowsAt(const Server &server)
{
    std::size_t count = 0;
    for (const auto &[key, flow] : server.flows) {
        count += flow.open ? 1 : 0;
    }
    return count;
}

// ---- scenarios
// ------------------------------------------------------------------------------------------------

// Case 8: one heartbeat of another writer, with a service that the deployment
// does not have.
void oddHeartbeat()
{
    auto &w = *world;
    waitForDeployment();
    startTraffic();
    waitFor(8);
    auto &server = *w.servers[0];
    record("%zu flows are open at server %s", flowsAt(server), server.id.c_str());
    if (w.trouble) {
        const Json body{{"Service", "nightly-export"},
                        {"Addr", server.ip + ":9999"},
                        {"Zone", server.zone},
                        {"Version", "v1"},
                        {"Slots", 4},
                        {"State", "ready"},
                        {"ColdLeftMs", 0},
                        {"Seq", 4},
                        {"born", unixMs() - 2000}};
        httpCall(server.ip, controlPort, "POST", "/instances/export-1/heartbeat", body.dump(),
                 [](int status) {
                     record("a heartbeat of another writer, service "
                            "\"nightly-export\", is answered with %d",
                            status);
                 });
    }
    waitFor(12);
}

// Delivers a heartbeat that was held up, as soon as the agent takes
// connections.
void deliverLate(const Server &server, const std::string &latePath, const std::string &lateBody)
{
    auto arrived = std::make_shared<bool>(false);
    auto deliver = std::make_shared<std::function<void()>>();
    *deliver = [&server, latePath, lateBody, arrived, deliver] {
        httpCall(server.ip, controlPort, "POST", latePath, lateBody, [arrived, deliver](int status) {
            if (status == 0) {
                after(0.02, *deliver);
                return;
            }
            *arrived = true;
            record("the heartbeat of the crashed server that was held up is "
                   "answered with %d",
                   status);
        });
    };
    (*deliver)();
    runUntil([&] { return *arrived; });
}

// Case 9: a heartbeat of a crashed server arrives late, after its successor's
// agent was stopped and started.
void lateHeartbeat()
{
    auto &w = *world;
    waitForDeployment();
    auto &server = *w.servers[0];
    const auto latePath = server.path("heartbeat");
    const auto lateBody = server.said("ready").dump();
    record("heartbeat %llu of server %s is held up on its way",
           static_cast<unsigned long long>(server.sequence), server.id.c_str());
    server.end("crashes");
    waitFor(4);
    server.start("i-9d04e7b1", true);
    waitFor(2.5);
    startTraffic(6);
    waitFor(8);
    record("%zu flows are open at server %s", flowsAt(server), server.id.c_str());
    // Right after a heartbeat, so that the next one comes half a second after the
    // agent's new start.
    bool beaten = false;
    server.beatDone = [&beaten](int) {
        beaten = true;
    };
    runUntil([&] { return beaten; });
    auto &agent = nodeOf("side-1");
    stopAndStart(agent);
    runUntil([&] { return agent.pid < 0; });
    runUntil([&] { return agent.pid > 0; });
    if (w.trouble) {
        deliverLate(server, latePath, lateBody);
    }
    waitFor(10);
}

// Planned work: the processes are stopped and started one after the other, each
// `gap` after the former is back.
void restartInTurn(std::vector<Node *> nodes, double gap)
{
    if (nodes.empty()) {
        return;
    }
    auto *node = nodes.front();
    nodes.erase(nodes.begin());
    if (node->pid <= 0) { // Another round has just stopped it.
        after(0.1, [nodes, node, gap]() mutable {
            nodes.insert(nodes.begin(), node);
            restartInTurn(nodes, gap);
        });
        return;
    }
    const int starts = node->starts;
    stopAndStart(*node);
    auto wait = std::make_shared<std::function<void()>>();
    *wait = [nodes, node, starts, gap, wait] {
        if (node->starts == starts) {
            after(0.05, *wait);
            return;
        }
        after(gap, [nodes, gap] { restartInTurn(nodes, gap); });
    };
    (*wait)();
}

// Case 10: agents are restarted in turn, two at a time, while the store is
// down; three times.
void restartInOutage()
{
    auto &w = *world;
    waitForDeployment();
    // The callers of zone-a open their flows while that zone is evacuated, so
    // that these are in zone-b.
    w.store.put("evacuations", "zone-a", Json::object());
    record("zone-a is evacuated");
    waitFor(2);
    startTraffic(8);
    waitFor(4);
    w.store.erase("evacuations", "zone-a");
    record("zone-a is taken back");
    waitFor(8);
    for (std::size_t i = 0; i < w.servers.size(); ++i) {
        record("%zu flows are open at server %s in %s", flowsAt(*w.servers[i]), w.servers[i]->id.c_str(),
               w.servers[i]->zone.c_str());
    }
    for (int round = 0; round < 3; ++round) {
        if (w.trouble) {
            record("the store answers 503 for 6 s");
            w.store.isRejecting = true;
            after(6, [&w] {
                record("the store serves again");
                w.store.isRejecting = false;
            });
        }
        after(0.3, [] { restartInTurn({&nodeOf("side-6"), &nodeOf("side-7")}, 1.2); });
        after(1.2, [] { restartInTurn({&nodeOf("side-8"), &nodeOf("side-9")}, 1.2); });
        waitFor(18);
    }
}

// Case 7: the time of day of a machine jumps back between its server's start
// and the agent's next start. The server states its start by the machine's
// clock, which was 2.4 s ahead; the agent reads the clock of today.
void clockStep()
{
    auto &w = *world;
    waitForDeployment();
    auto &server = *w.servers[0];
    server.end("crashes");
    waitFor(4);
    server.clockAhead = w.trouble ? 2400 : 0;
    server.start("i-9d04e7b1", false);
    w.pauseFrom = 10;
    w.pauseTo = 11;
    startTraffic(8);
    waitFor(1.6);
    record("%zu flows are open at server %s; the time of day of its machine has "
           "jumped back by %d ms",
           flowsAt(server), server.id.c_str(), static_cast<int>(server.clockAhead));
    auto &agent = nodeOf("side-1");
    record("side-1 is killed");
    agent.isExpectedToEnd = true;
    ::kill(agent.pid, SIGKILL);
    waitFor(16);
}

// Case 6: a machine is lost, and its address goes to a machine with a server of
// another service. A heartbeat of the lost server arrives late, after the agent
// of the new one was stopped and started.
void reusedAddress()
{
    auto &w = *world;
    waitForDeployment();
    auto &lost = *w.servers[0];
    const auto latePath = lost.path("heartbeat");
    const auto lateBody = lost.said("ready").dump();
    record("heartbeat %llu of server %s is held up on its way",
           static_cast<unsigned long long>(lost.sequence), lost.id.c_str());
    lost.end("is lost with its machine");
    auto &lostAgent = nodeOf("side-1");
    lostAgent.isExpectedToEnd = lostAgent.isRemoved = true;
    ::kill(lostAgent.pid, SIGKILL);
    waitFor(4);
    addNode("agent", "side-7", lost.ip, lost.zone, "sportello");
    auto &agent = *w.nodes.back();
    agent.start();
    w.servers.push_back(std::make_unique<Server>());
    auto &server = *w.servers.back();
    server.ip = lost.ip;
    server.zone = lost.zone;
    server.service = "sportello";
    after(0.1, [&server] { server.start("i-9d04e7b1", true); });
    waitFor(3);
    for (std::size_t i = 0; i < w.callers.size(); ++i) {
        w.callers[i]->isBrief = i % 4 > 1;
        w.callers[i]->virtualPort = i % 4 > 1 ? 8081 : 8080;
    }
    startTraffic();
    waitFor(8);
    record("%zu flows are open at server %s", flowsAt(server), server.id.c_str());
    bool beaten = false;
    server.beatDone = [&beaten](int) {
        beaten = true;
    };
    runUntil([&] { return beaten; });
    server.beatDone = nullptr;
    stopAndStart(agent);
    runUntil([&] { return agent.pid < 0; });
    runUntil([&] { return agent.pid > 0; });
    if (w.trouble) {
        deliverLate(server, latePath, lateBody);
    }
    waitFor(8);
}

int judge()
{
    auto &w = *world;
    int ends = 0;
    for (const auto &node : w.nodes) {
        ends += node->ends;
    }
    int run = 0;
    for (const auto &[name, request] : w.requests) {
        run += request.runAt > 0 ? 1 : 0;
        if (request.isAnswered) {
            continue;
        }
        if (request.runAt > 0) {
            record("request %s: sent %.3f, run %.3f by %s, not answered", name.c_str(), request.sentAt,
                   request.runAt, request.server.c_str());
        } else {
            record("request %s: sent %.3f, not run", name.c_str(), request.sentAt);
        }
    }
    record("requests sent %zu, run %d", w.requests.size(), run);
    record("answered %d, without an answer in 5 s %d, resets of flows whose "
           "server had ended %d, run twice "
           "%d, altered or "
           "foreign %d, processes that ended by themselves %d",
           w.answered, w.lateRequests, w.legalResets, w.twice, w.wrong, ends);
    record("FLOW broken %d times, ROUTE %d times", w.brokenFlows, w.misrouted);
    std::printf("FLOW broken %d times; ROUTE %d times; answered %d\n", w.brokenFlows, w.misrouted,
                w.answered);
    if (w.answered < 50) {
        giveUp("too few answers to judge");
    }
    return w.brokenFlows + w.misrouted + w.twice + w.wrong + ends > 0 ? 1 : 0;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 3) {
        std::fputs("usage: review-standin-2 SCENARIO RECORD_FILE\n", stderr);
        return 2;
    }
    recordFile = std::fopen(argv[2], "w");
    if (recordFile == nullptr) {
        return 2;
    }
    World theWorld;
    world = &theWorld;
    const char *trouble = std::getenv("TROUBLE");
    theWorld.trouble = trouble == nullptr || std::string(trouble) != "0";
    char folder[] = "/tmp/review-XXXXXX";
    theWorld.folder = ::mkdtemp(folder);
    const std::map<std::string, void (*)()> scenarios{{"odd-heartbeat", oddHeartbeat},
                                                      {"late-heartbeat", lateHeartbeat},
                                                      {"restart-in-outage", restartInOutage},
                                                      {"clock-step", clockStep},
                                                      {"reused-address", reusedAddress}};
    const auto scenario = scenarios.find(argv[1]);
    if (scenario == scenarios.end()) {
        return 2;
    }
    record("scenario %s%s", argv[1], theWorld.trouble ? "" : ", without the disruption");
    // One of six servers or agents is within the shares that the site file has for single crashes and kills.
    const bool isLarge = scenario->first == "restart-in-outage";
    const bool isSmall = scenario->first == "odd-heartbeat";
    if (scenario->first == "reused-address") {
        theWorld.services = {"archivio", "sportello", "sportello", "archivio", "archivio", "archivio"};
        theWorld.routes[8081] = "archivio";
    }
    deploy(isLarge ? 10 : isSmall ? 3 : 6, isLarge ? 12 : 8);
    scenario->second();
    theWorld.sending = false;
    const int result = judge();
    killAll();
    if (std::getenv("KEEP") == nullptr) {
        for (const auto &node : theWorld.nodes) {
            ::unlink(node->settingsPath.c_str());
            ::unlink(node->logPath.c_str());
        }
        ::rmdir(theWorld.folder.c_str());
    } else {
        std::printf("%s\n", theWorld.folder.c_str());
    }
    record("exit status %d", result);
    std::fflush(nullptr);
    ::_exit(result);
}
