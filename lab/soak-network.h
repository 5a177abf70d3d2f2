/// The links of a soak: every datagram between processes, and every connection to the store, passes here.
///
/// Processes keep their real addresses: what one sends to another's address arrives at a port of the soak,
/// which passes it on from a socket of the sender's address.
#pragma once

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <unordered_map>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include "oriolelever/packet-port.h"

namespace oriolelever::lab {

/// What is wrong with the links of one process.
struct LinkFaults
{
    bool deaf = false; ///< Nothing reaches it.
    bool mute = false; ///< Nothing that it sends arrives.
    double loss = 0; ///< Share of the datagrams, 0 to 1.
    std::chrono::milliseconds delay{0};
};

/// A process as the network knows it.
struct NetworkNode
{
    std::string name;
    std::string zone;
    Endpoint relay; ///< Where other processes' datagrams for it arrive at the soak.
    Endpoint target; ///< Where the process takes them.
};

class SoakNetwork
{
public:
    SoakNetwork(asio::io_context &context, std::uint64_t seed);

    /// Fails with `Code::AddressInUse` or `Code::SocketFailed`.
    Result<void> add(const NetworkNode &node);

    LinkFaults &faultsOf(const std::string &name);
    void cutZones(const std::string &one, const std::string &other);
    void mendZones();

    /// The process at `address`, null if there is none.
    const NetworkNode *nodeAt(const IpAddress &address) const;
    /// Delay of a datagram from `name` to a caller; absent if it is lost.
    std::optional<std::chrono::milliseconds> passageToCaller(const std::string &name);

private:
    struct Member
    {
        NetworkNode node;
        LinkFaults faults;
        std::unique_ptr<PacketPort> port;
    };

    void relay(std::span<std::uint8_t> bytes, const Endpoint &from, Member &to);
    bool isLost(const Member &from, const Member &to);
    bool draws(double share);

    asio::io_context &m_context;
    std::mt19937_64 m_random;
    std::map<std::string, std::unique_ptr<Member>> m_members;
    std::unordered_map<IpAddress, Member *, AddressHash> m_byAddress;
    std::set<std::pair<std::string, std::string>> m_cutZones;
};

/// What is wrong with the connections of a process to the store.
struct StoreLinkFaults
{
    bool silent = false; ///< Bytes are lost both ways.
    bool deaf = false; ///< The store's answers are lost.
    std::chrono::milliseconds delay{0}; ///< Of answers.
    bool refusing = false; ///< New connections are closed at once.
};

/// Passes the connections of one process to the store.
class StoreLink
{
public:
    StoreLink(asio::io_context &context, const Endpoint &listen, const Endpoint &store);
    ~StoreLink();

    StoreLinkFaults faults;

    /// Ends all connections at once, with a reset.
    void reset();

private:
    struct Pair;

    void accept();
    void pump(const std::shared_ptr<Pair> &pair, bool fromStore);

    asio::io_context &m_context;
    asio::ip::tcp::acceptor m_acceptor;
    asio::ip::tcp::endpoint m_store;
    std::list<std::weak_ptr<Pair>> m_pairs;
};

} // namespace oriolelever::lab
