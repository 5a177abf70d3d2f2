#include "soak-network.h"

#include <asio/steady_timer.hpp>
#include <asio/write.hpp>

namespace oriolelever::lab {

namespace {

asio::ip::tcp::endpoint toTcp(const Endpoint &endpoint)
{
    return {asio::ip::make_address(toString(endpoint.address)), endpoint.port};
}

} // namespace

SoakNetwork::SoakNetwork(asio::io_context &context, std::uint64_t seed)
    : m_context(context)
    , m_random(seed)
{
}

Result<void> SoakNetwork::add(const NetworkNode &node)
{
    auto member
        = std::make_unique<Member>(Member{.node = node, .port = std::make_unique<PacketPort>(m_context)});
    auto *to = member.get();
    BOOST_LEAF_CHECK(
        member->port->open(node.relay, [this, to](std::span<std::uint8_t> bytes, const Endpoint &from) {
            relay(bytes, from, *to);
        }));
    m_byAddress[node.relay.address] = to;
    m_members[node.name] = std::move(member);
    return {};
}

LinkFaults &SoakNetwork::faultsOf(const std::string &name)
{
    return m_members.at(name)->faults;
}

void SoakNetwork::cutZones(const std::string &one, const std::string &other)
{
    m_cutZones.insert({one, other});
    m_cutZones.insert({other, one});
}

void SoakNetwork::mendZones()
{
    m_cutZones.clear();
}

const NetworkNode *SoakNetwork::nodeAt(const IpAddress &address) const
{
    const auto found = m_byAddress.find(address);
    return found == m_byAddress.end() ? nullptr : &found->second->node;
}

bool SoakNetwork::draws(double share)
{
    return share > 0 && std::uniform_real_distribution<double>(0, 1)(m_random) < share;
}

bool SoakNetwork::isLost(const Member &from, const Member &to)
{
    return from.faults.mute || to.faults.deaf || m_cutZones.contains({from.node.zone, to.node.zone})
        || draws(from.faults.loss) || draws(to.faults.loss);
}

std::optional<std::chrono::milliseconds> SoakNetwork::passageToCaller(const std::string &name)
{
    const auto &faults = m_members.at(name)->faults;
    if (draws(faults.loss)) {
        return std::nullopt;
    }
    return faults.delay;
}

void SoakNetwork::relay(std::span<std::uint8_t> bytes, const Endpoint &from, Member &to)
{
    const auto sender = m_byAddress.find(from.address);
    if (sender == m_byAddress.end() || isLost(*sender->second, to)) {
        return;
    }
    auto *port = sender->second->port.get();
    const auto delay = sender->second->faults.delay + to.faults.delay;
    if (delay == std::chrono::milliseconds::zero()) {
        port->send(bytes, to.node.target);
        port->flush();
        return;
    }
    auto timer = std::make_shared<asio::steady_timer>(m_context, delay);
    timer->async_wait(
        [port, timer, target = to.node.target,
         copy = std::vector<std::uint8_t>(bytes.begin(), bytes.end())](const asio::error_code &error) {
            if (!error) {
                port->send(copy, target);
                port->flush();
            }
        });
}

struct StoreLink::Pair
{
    explicit Pair(asio::io_context &context)
        : client(context)
        , store(context)
    {
    }

    asio::ip::tcp::socket client;
    asio::ip::tcp::socket store;
    std::array<char, 16'384> fromClient{};
    std::array<char, 16'384> fromStore{};
};

StoreLink::StoreLink(asio::io_context &context, const Endpoint &listen, const Endpoint &store)
    : m_context(context)
    , m_acceptor(context, toTcp(listen))
    , m_store(toTcp(store))
{
    accept();
}

StoreLink::~StoreLink()
{
    reset();
}

void StoreLink::reset()
{
    for (const auto &weak : m_pairs) {
        const auto pair = weak.lock();
        if (!pair) {
            continue;
        }
        asio::error_code ignored; // The connection may have ended by itself.
        pair->client.set_option(asio::socket_base::linger(true, 0), ignored);
        pair->client.close(ignored);
        pair->store.close(ignored);
    }
    m_pairs.clear();
}

void StoreLink::accept()
{
    auto pair = std::make_shared<Pair>(m_context);
    m_acceptor.async_accept(pair->client, [this, pair](const asio::error_code &error) {
        if (error) {
            return;
        }
        asio::error_code failed;
        if (!faults.refusing) {
            pair->store.connect(m_store, failed);
        }
        if (!failed && !faults.refusing) {
            m_pairs.remove_if([](const auto &weak) { return weak.expired(); });
            m_pairs.push_back(pair);
            pump(pair, false);
            pump(pair, true);
        }
        accept();
    });
}

void StoreLink::pump(const std::shared_ptr<Pair> &pair, bool fromStore)
{
    auto &source = fromStore ? pair->store : pair->client;
    auto &buffer = fromStore ? pair->fromStore : pair->fromClient;
    source.async_read_some(
        asio::buffer(buffer), [this, pair, fromStore](const asio::error_code &error, std::size_t size) {
            asio::error_code ignored; // Both sides are given up together.
            if (error) {
                pair->client.close(ignored);
                pair->store.close(ignored);
                return;
            }
            const bool lost = faults.silent || (fromStore && faults.deaf);
            const auto delay = fromStore ? faults.delay : std::chrono::milliseconds::zero();
            auto timer = std::make_shared<asio::steady_timer>(m_context, delay);
            timer->async_wait([this, pair, fromStore, size, lost, timer](const asio::error_code &) {
                auto &target = fromStore ? pair->client : pair->store;
                const auto &bytes = fromStore ? pair->fromStore : pair->fromClient;
                asio::error_code failed;
                if (!lost) {
                    asio::write(target, asio::buffer(bytes.data(), size), failed);
                }
                if (!failed) {
                    pump(pair, fromStore);
                }
            });
        });
}

} // namespace oriolelever::lab
