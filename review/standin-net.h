// Small stand-ins of the platform, for the scripts of the review. Addresses are loopback addresses only.
#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;

/// Seconds since the program's start.
double nowSeconds();
void sleepFor(double seconds);
std::int64_t unixMilliseconds();

/// Lines of `record.txt`: the time and what was sent, answered and run.
class Record
{
public:
    bool open(const std::string &path);
    void line(const std::string &text);

private:
    std::mutex m_mutex;
    std::FILE *m_file = nullptr;
};

extern Record record;

/// An IPv4 address and a port.
struct Address
{
    std::uint32_t ip = 0;
    std::uint16_t port = 0;

    auto operator<=>(const Address &) const = default;
};

std::string textOf(std::uint32_t ip);
std::string textOf(const Address &address);

int openUdp(const Address &local);
int openListener(const Address &local);
void sendUdp(int socket, const std::vector<std::uint8_t> &bytes, const Address &to);
/// Returns false if nothing came within the time.
bool receiveUdp(int socket, std::vector<std::uint8_t> &bytes, int timeoutMs);

struct HttpRequest
{
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    std::string body;
};

struct HttpReply
{
    int status = 200;
    std::string body = "{}";
    bool silent = false; ///< No answer at all: the connection stays open and returns nothing further.
};

/// Makes one call on a connection of its own; no value without an answer in time.
std::optional<HttpReply> callHttp(const Address &server, const std::string &method, const std::string &path,
                                  const std::string &body, int timeoutMs);

/// Answers HTTP/1.1 calls, a thread for each connection. Runs until the program ends.
void serveHttp(const Address &local, std::function<HttpReply(const HttpRequest &)> handler);

/// The head of a packet; see PROTOCOL.md.
struct Packet
{
    Address source;
    Address destination;
    bool syn = false;
    bool ack = false;
    bool fin = false;
    bool rst = false;
    bool bounced = false;
    std::uint32_t sequence = 0;
    std::uint32_t acknowledgement = 0;
    std::string data;
};

std::vector<std::uint8_t> encodePacket(const Packet &packet);
/// Returns false if the bytes are no packet. `isIntact` tells whether its sender wrote it so.
bool decodePacket(const std::vector<std::uint8_t> &bytes, Packet &out, bool &isIntact);
/// True for a reset of the system's own.
bool isSystemReset(const std::vector<std::uint8_t> &bytes);

/// The platform's store.
class Store
{
public:
    /// Answers calls at an address. While `isCut` returns true, nothing gets through: connections hang. While
    /// `isBusy` does, calls are rejected with 503.
    void serve(const Address &local, std::function<bool()> isCut, std::function<bool()> isBusy);
    /// Writes an object as the operator or another writer does. `spec` is JSON text and kept as it is.
    void put(const std::string &kind, const std::string &name, const std::string &spec);
    void erase(const std::string &kind, const std::string &name);
    /// Kinds of which there have been objects.
    std::vector<std::string> kinds();
    /// Names of the objects of a kind.
    std::vector<std::string> names(const std::string &kind);

private:
    struct Object
    {
        std::string spec;
        std::uint64_t revision = 0;
    };

    struct Event
    {
        std::string kind;
        std::string object;
        std::uint64_t revision = 0;
        bool deleted = false;
        double at = 0;
    };

    HttpReply handle(const HttpRequest &request);
    HttpReply watch(const std::string &kind, const HttpRequest &request);
    HttpReply write(const std::string &kind, const std::string &name, const HttpRequest &request);
    HttpReply remove(const std::string &kind, const std::string &name, const HttpRequest &request);
    static std::string encode(const std::string &name, const Object &object);
    void apply(const std::string &kind, const std::string &name, const std::optional<std::string> &spec);

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::map<std::string, Object>> m_kinds;
    std::vector<Event> m_events; ///< Those of the last 20 s, `RetentionS`.
    std::uint64_t m_forgotten = 0; ///< Revision of the last event that is not kept any more.
    std::uint64_t m_revision = 100;
};

} // namespace review
