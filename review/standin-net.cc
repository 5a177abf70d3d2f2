#include "standin-net.h"

#include <algorithm>
#include <cstring>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

Record record;

namespace {

const Clock::time_point programStart = Clock::now();

sockaddr_in socketAddress(const Address &address)
{
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(address.port);
    out.sin_addr.s_addr = htonl(address.ip);
    return out;
}

int bound(int type, const Address &local)
{
    const int fd = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
    const int one = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    const auto address = socketAddress(local);
    if (::bind(fd, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
        ::close(fd);
        return -1;
    }
    return fd;
}

bool writeAll(int fd, const std::string &text)
{
    std::size_t sent = 0;
    while (sent < text.size()) {
        const auto count = ::send(fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

// Reads one message of HTTP/1.1 with an optional Content-Length; false at the end of the connection.
bool readMessage(int fd, std::string &buffer, std::string &head, std::string &body,
                 Clock::time_point deadline)
{
    const auto more = [&] {
        const auto left
            = std::chrono::duration_cast<std::chrono::milliseconds>(deadline - Clock::now()).count();
        pollfd entry{.fd = fd, .events = POLLIN, .revents = 0};
        if (left <= 0 || ::poll(&entry, 1, static_cast<int>(std::min<std::int64_t>(left, 60'000))) != 1) {
            return false;
        }
        char chunk[16'384];
        const auto count = ::recv(fd, chunk, sizeof(chunk), 0);
        if (count <= 0) {
            return false;
        }
        buffer.append(chunk, static_cast<std::size_t>(count));
        return true;
    };
    std::size_t end = 0;
    while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!more()) {
            return false;
        }
    }
    head = buffer.substr(0, end + 2);
    std::string lower = head;
    std::transform(lower.begin(), lower.end(), lower.begin(),
                   [](unsigned char c) { return std::tolower(c); });
    std::size_t length = 0;
    if (const auto found = lower.find("\r\ncontent-length:"); found != std::string::npos) {
        length = std::stoul(lower.substr(found + 17));
    }
    while (buffer.size() < end + 4 + length) {
        if (!more()) {
            return false;
        }
    }
    body = buffer.substr(end + 4, length);
    buffer.erase(0, end + 4 + length);
    return true;
}

void serveConnection(int fd, const std::function<HttpReply(const HttpRequest &)> &handler)
{
    const int one = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    std::string buffer;
    std::string head;
    HttpRequest request;
    while (readMessage(fd, buffer, head, request.body, Clock::now() + std::chrono::hours(1))) {
        const auto space = head.find(' ');
        const auto target = head.substr(space + 1, head.find(' ', space + 1) - space - 1);
        request.method = head.substr(0, space);
        const auto mark = target.find('?');
        request.path = target.substr(0, mark);
        request.query.clear();
        std::string rest = mark == std::string::npos ? "" : target.substr(mark + 1);
        while (!rest.empty()) {
            const auto next = rest.find('&');
            const auto part = rest.substr(0, next);
            const auto equals = part.find('=');
            request.query[part.substr(0, equals)]
                = equals == std::string::npos ? "" : part.substr(equals + 1);
            rest = next == std::string::npos ? "" : rest.substr(next + 1);
        }
        const auto reply = handler(request);
        if (reply.silent) {
            sleepFor(3600);
            break;
        }
        const auto text = "HTTP/1.1 " + std::to_string(reply.status)
            + " Answer\r\nContent-Type: application/json\r\nContent-Length: "
            + std::to_string(reply.body.size()) + "\r\n\r\n" + reply.body;
        if (!writeAll(fd, text)) {
            break;
        }
    }
    ::close(fd);
}

void put16(std::uint8_t *out, std::uint32_t value)
{
    out[0] = static_cast<std::uint8_t>(value >> 8);
    out[1] = static_cast<std::uint8_t>(value);
}

void put32(std::uint8_t *out, std::uint32_t value)
{
    put16(out, value >> 16);
    put16(out + 2, value & 0xffff);
}

std::uint32_t get16(const std::uint8_t *in)
{
    return static_cast<std::uint32_t>(in[0] << 8 | in[1]);
}

std::uint32_t get32(const std::uint8_t *in)
{
    return get16(in) << 16 | get16(in + 2);
}

constexpr std::size_t headSize = 32;
constexpr std::uint8_t bouncedFlag = 4;

// A keyed sum over all fields but `echo`, `pad` and BOUNCED.
std::uint32_t sumOf(std::vector<std::uint8_t> bytes)
{
    bytes[14] &= static_cast<std::uint8_t>(~bouncedFlag);
    bytes[15] = 0;
    put32(bytes.data() + 16, 0);
    put32(bytes.data() + 28, 0);
    std::uint64_t hash = 0xcbf29ce484222325ULL ^ 0x5bd1e995ULL;
    for (const auto byte : bytes) {
        hash = (hash ^ byte) * 0x100000001b3ULL;
    }
    const auto sum = static_cast<std::uint32_t>(hash ^ (hash >> 32));
    return sum == 0 ? 1 : sum;
}

} // namespace

double nowSeconds()
{
    return std::chrono::duration<double>(Clock::now() - programStart).count();
}

void sleepFor(double seconds)
{
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

std::int64_t unixMilliseconds()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

bool Record::open(const std::string &path)
{
    m_file = std::fopen(path.c_str(), "a");
    return m_file != nullptr;
}

void Record::line(const std::string &text)
{
    const std::lock_guard lock(m_mutex);
    std::fprintf(m_file, "%9.3f %s\n", nowSeconds(), text.c_str());
    std::fflush(m_file);
}

std::string textOf(std::uint32_t ip)
{
    return std::to_string(ip >> 24) + "." + std::to_string((ip >> 16) & 255) + "."
        + std::to_string((ip >> 8) & 255) + "." + std::to_string(ip & 255);
}

std::string textOf(const Address &address)
{
    return textOf(address.ip) + ":" + std::to_string(address.port);
}

int openUdp(const Address &local)
{
    return bound(SOCK_DGRAM, local);
}

int openListener(const Address &local)
{
    const int fd = bound(SOCK_STREAM, local);
    if (fd >= 0 && ::listen(fd, 64) != 0) {
        ::close(fd);
        return -1;
    }
    return fd;
}

void sendUdp(int socket, const std::vector<std::uint8_t> &bytes, const Address &to)
{
    const auto address = socketAddress(to);
    ::sendto(socket, bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr *>(&address),
             sizeof(address));
}

bool receiveUdp(int socket, std::vector<std::uint8_t> &bytes, int timeoutMs)
{
    pollfd entry{.fd = socket, .events = POLLIN, .revents = 0};
    if (::poll(&entry, 1, timeoutMs) != 1) {
        return false;
    }
    bytes.resize(2048);
    const auto count = ::recv(socket, bytes.data(), bytes.size(), MSG_DONTWAIT);
    bytes.resize(count > 0 ? static_cast<std::size_t>(count) : 0);
    return count > 0;
}

std::optional<HttpReply> callHttp(const Address &server, const std::string &method, const std::string &path,
                                  const std::string &body, int timeoutMs)
{
    const auto deadline = Clock::now() + std::chrono::milliseconds(timeoutMs);
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const auto address = socketAddress(server);
    ::connect(fd, reinterpret_cast<const sockaddr *>(&address), sizeof(address));
    pollfd entry{.fd = fd, .events = POLLOUT, .revents = 0};
    int error = 0;
    socklen_t size = sizeof(error);
    std::optional<HttpReply> reply;
    if (::poll(&entry, 1, timeoutMs) == 1 && ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) == 0
        && error == 0) {
        ::fcntl(fd, F_SETFL, 0);
        const auto text = method + " " + path + " HTTP/1.1\r\nHost: " + textOf(server)
            + "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size())
            + "\r\n\r\n" + body;
        std::string buffer;
        std::string head;
        HttpReply answer;
        if (writeAll(fd, text) && readMessage(fd, buffer, head, answer.body, deadline)) {
            answer.status = std::stoi(head.substr(head.find(' ') + 1));
            reply = answer;
        }
    }
    ::close(fd);
    return reply;
}

void serveHttp(const Address &local, std::function<HttpReply(const HttpRequest &)> handler)
{
    const int listener = openListener(local);
    if (listener < 0) {
        std::fprintf(stderr, "cannot listen on %s\n", textOf(local).c_str());
        ::_exit(2);
    }
    std::thread([listener, handler = std::move(handler)] {
        while (true) {
            const int fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd >= 0) {
                std::thread([fd, handler] { serveConnection(fd, handler); }).detach();
            }
        }
    }).detach();
}

std::vector<std::uint8_t> encodePacket(const Packet &packet)
{
    std::vector<std::uint8_t> bytes(headSize + packet.data.size());
    auto *head = bytes.data();
    put16(head, static_cast<std::uint32_t>(packet.data.size()));
    put16(head + 2, packet.destination.port);
    put32(head + 4, packet.source.ip);
    put16(head + 8, packet.source.port);
    put32(head + 10, packet.destination.ip);
    head[14] = static_cast<std::uint8_t>((packet.syn ? 32 : 0) | (packet.ack ? 1 : 0) | (packet.fin ? 128 : 0)
                                         | (packet.rst ? 2 : 0) | (packet.bounced ? bouncedFlag : 0));
    put32(head + 20, packet.sequence);
    put32(head + 24, packet.acknowledgement);
    std::copy(packet.data.begin(), packet.data.end(), bytes.begin() + headSize);
    put32(bytes.data() + 16, sumOf(bytes));
    return bytes;
}

bool decodePacket(const std::vector<std::uint8_t> &bytes, Packet &out, bool &isIntact)
{
    if (bytes.size() < headSize || bytes.size() != headSize + get16(bytes.data())) {
        return false;
    }
    const auto *head = bytes.data();
    out.source = {get32(head + 4), static_cast<std::uint16_t>(get16(head + 8))};
    out.destination = {get32(head + 10), static_cast<std::uint16_t>(get16(head + 2))};
    out.syn = (head[14] & 32) != 0;
    out.ack = (head[14] & 1) != 0;
    out.fin = (head[14] & 128) != 0;
    out.rst = (head[14] & 2) != 0;
    out.bounced = (head[14] & bouncedFlag) != 0;
    out.sequence = get32(head + 20);
    out.acknowledgement = get32(head + 24);
    out.data.assign(bytes.begin() + headSize, bytes.end());
    isIntact = get32(head + 16) == sumOf(bytes);
    return true;
}

bool isSystemReset(const std::vector<std::uint8_t> &bytes)
{
    return bytes.size() == headSize && (bytes[14] & 2) != 0 && get32(bytes.data() + 16) == 0;
}

void Store::serve(const Address &local, std::function<bool()> isCut, std::function<bool()> isBusy)
{
    serveHttp(local,
              [this, isCut = std::move(isCut), isBusy = std::move(isBusy)](const HttpRequest &request) {
                  sleepFor(0.004);
                  if (isCut()) {
                      return HttpReply{.silent = true};
                  }
                  if (isBusy()) {
                      return HttpReply{.status = 503};
                  }
                  auto reply = handle(request);
                  reply.silent = isCut();
                  return reply;
              });
}

std::string Store::encode(const std::string &name, const Object &object)
{
    return "{\"meta\":{\"Name\":" + nlohmann::json(name).dump() + ",\"Rev\":"
        + std::to_string(object.revision) + ",\"Created\":1,\"Finalizers\":[],\"Deleting\":false},\"spec\":"
        + object.spec + ",\"status\":null}";
}

// Without a spec, the object is removed.
void Store::apply(const std::string &kind, const std::string &name, const std::optional<std::string> &spec)
{
    auto &objects = m_kinds[kind];
    const auto found = objects.find(name);
    if (spec && found != objects.end() && found->second.spec == *spec) {
        return;
    }
    ++m_revision;
    auto object = found == objects.end() ? Object{} : found->second;
    object.revision = m_revision;
    object.spec = spec.value_or(object.spec);
    if (spec) {
        objects[name] = object;
    } else {
        objects.erase(name);
    }
    m_events.push_back({.kind = kind,
                        .object = encode(name, object),
                        .revision = m_revision,
                        .deleted = !spec.has_value(),
                        .at = nowSeconds()});
    m_changed.notify_all();
}

void Store::put(const std::string &kind, const std::string &name, const std::string &spec)
{
    const std::lock_guard lock(m_mutex);
    apply(kind, name, spec);
}

void Store::erase(const std::string &kind, const std::string &name)
{
    const std::lock_guard lock(m_mutex);
    apply(kind, name, std::nullopt);
}

std::vector<std::string> Store::kinds()
{
    const std::lock_guard lock(m_mutex);
    std::vector<std::string> found;
    for (const auto &[kind, objects] : m_kinds) {
        found.push_back(kind);
    }
    return found;
}

std::vector<std::string> Store::names(const std::string &kind)
{
    const std::lock_guard lock(m_mutex);
    std::vector<std::string> found;
    for (const auto &[name, object] : m_kinds[kind]) {
        found.push_back(name);
    }
    return found;
}

HttpReply Store::handle(const HttpRequest &request)
{
    constexpr std::string_view prefix = "/objects/";
    if (!request.path.starts_with(prefix)) {
        return {.status = 404};
    }
    const auto rest = request.path.substr(prefix.size());
    const auto slash = rest.find('/');
    const auto kind = rest.substr(0, slash);
    const auto name = slash == std::string::npos ? std::string() : rest.substr(slash + 1);
    if (request.query.contains("Watch")) {
        return watch(kind, request);
    }
    const std::lock_guard lock(m_mutex);
    if (request.method == "POST" || request.method == "PUT") {
        return write(kind, name, request);
    }
    if (request.method == "DELETE") {
        return remove(kind, name, request);
    }
    auto &objects = m_kinds[kind];
    if (!name.empty()) {
        const auto found = objects.find(name);
        return found == objects.end() ? HttpReply{.status = 404}
                                      : HttpReply{.body = encode(name, found->second)};
    }
    std::string items;
    for (const auto &[itemName, object] : objects) {
        items += (items.empty() ? "" : ",") + encode(itemName, object);
    }
    return {.body = "{\"items\":[" + items
                + "],\"More\":false,\"StoreRevision\":" + std::to_string(m_revision) + "}"};
}

HttpReply Store::watch(const std::string &kind, const HttpRequest &request)
{
    const auto after = std::stoull(request.query.at("Watch"));
    const auto wait = request.query.contains("WaitMs") ? std::stol(request.query.at("WaitMs")) : 0;
    std::string events;
    std::unique_lock lock(m_mutex);
    constexpr double retentionSeconds = 20;
    while (!m_events.empty() && nowSeconds() - m_events.front().at > retentionSeconds) {
        m_forgotten = m_events.front().revision;
        m_events.erase(m_events.begin());
    }
    if (after < m_forgotten) {
        return {.status = 410};
    }
    m_changed.wait_for(lock, std::chrono::milliseconds(wait), [&] {
        events.clear();
        for (const auto &event : m_events) {
            if (event.kind == kind && event.revision > after) {
                events += (events.empty() ? "" : ",") + ("{\"Object\":" + event.object)
                    + ",\"Deleted\":" + (event.deleted ? "true" : "false") + "}";
            }
        }
        return !events.empty();
    });
    return {.body = "{\"events\":[" + events + "],\"StoreRevision\":" + std::to_string(m_revision) + "}"};
}

HttpReply Store::write(const std::string &kind, const std::string &name, const HttpRequest &request)
{
    const auto body = nlohmann::json::parse(request.body, nullptr, false);
    if (!body.is_object() || !body.contains("meta") || !body.contains("spec")) {
        return {.status = 400};
    }
    const bool creates = request.method == "POST";
    const auto wanted = creates ? body["meta"].value("Name", std::string()) : name;
    auto &objects = m_kinds[kind];
    const auto found = objects.find(wanted);
    const bool exists = found != objects.end();
    if (!creates && !exists) {
        return {.status = 404};
    }
    const auto revision = body["meta"].value("Rev", std::uint64_t{0});
    if ((creates && exists) || (!creates && revision != 0 && revision != found->second.revision)) {
        return {.status = 409, .body = encode(wanted, found->second)};
    }
    apply(kind, wanted, body["spec"].dump());
    return {.body = encode(wanted, objects[wanted])};
}

HttpReply Store::remove(const std::string &kind, const std::string &name, const HttpRequest &request)
{
    auto &objects = m_kinds[kind];
    const auto found = objects.find(name);
    if (found == objects.end()) {
        return {.status = 404};
    }
    if (request.query.contains("Rev") && std::stoull(request.query.at("Rev")) != found->second.revision) {
        return {.status = 409, .body = encode(name, found->second)};
    }
    apply(kind, name, std::nullopt);
    return {.body = "{}"};
}

} // namespace review
