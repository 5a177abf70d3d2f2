// Explores one bucket's handover between three agents exhaustively to a stated depth: every order of roster
// changes, restarts, ticks, deliveries, losses and repeated deliveries.
#include <algorithm>
#include <deque>
#include <unordered_set>

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "flow-fixture.h"
#include "oriolelever/directory-codec.h"
#include "oriolelever/directory.h"

using namespace oriolelever;
using namespace oriolelever::test;

namespace {

constexpr std::size_t agentCount = 3;
constexpr std::size_t messageLimit = 4; ///< Messages under way; older ones are lost.

struct Datagram
{
    std::size_t from = 0;
    std::size_t to = 0;
    DirectoryMessage message;
};

// A service with three servers and one bucket, owned by `owner`.
std::shared_ptr<const ServiceRoute> routeWithOwner(std::size_t owner, std::uint64_t version,
                                                   const std::array<Incarnation, agentCount> &lives)
{
    auto route = std::make_shared<ServiceRoute>();
    route->id = idOf<ServiceId>(serviceName);
    route->address = endpoint(100, 443);
    route->version = version;
    for (std::size_t i = 0; i < agentCount; ++i) {
        route->servers.push_back({.id = ServerId{i + 1},
                                  .data = endpoint(static_cast<std::uint8_t>(i + 1), 6080),
                                  .incarnation = lives[i],
                                  .state = NodeState::Ready,
                                  .weight = 100,
                                  .connectionLimit = 100});
    }
    route->owners.assign(1, static_cast<ServerIndex>(owner));
    return route;
}

struct State
{
    std::array<Directory, agentCount> agents;
    std::array<Incarnation, agentCount> lives{1, 1, 1};
    std::array<std::size_t, agentCount> owners{}; ///< By each agent's roster.
    std::deque<Datagram> network;
    TimePoint now = TimePoint{} + std::chrono::hours(1);
    Effects effects;

    State()
    {
        for (std::size_t i = 0; i < agentCount; ++i) {
            start(i);
        }
    }

    void start(std::size_t i)
    {
        agents[i] = makeDirectory({.self = ServerId{i + 1},
                                   .service = idOf<ServiceId>(serviceName),
                                   .incarnation = lives[i],
                                   .loadInterval = std::chrono::hours(9),
                                   .copyDelay = std::chrono::hours(9),
                                   .copyInterval = std::chrono::hours(9),
                                   .startGrace = Duration{0},
                                   .serverLivedOn = lives[i] > 1,
                                   .warm = true},
                                  now);
        giveRoster(i, owners[i]);
    }

    void giveRoster(std::size_t i, std::size_t owner)
    {
        owners[i] = owner;
        onRoster(agents[i], routeWithOwner(owner, 1, lives), now, effects);
        send(i);
    }

    void send(std::size_t from)
    {
        for (const auto &outgoing : effects.messages) {
            const auto kind = outgoing.message.kind;
            if (kind != DirectoryMessageKind::Ask && kind != DirectoryMessageKind::Answer) {
                continue;
            }
            network.push_back({from, outgoing.to.value - 1, outgoing.message});
            if (network.size() > messageLimit) {
                network.pop_front();
            }
        }
        effects.messages.clear();
    }

    void deliver(std::size_t index, bool again)
    {
        const auto datagram = network[index];
        if (!again) {
            network.erase(network.begin() + static_cast<std::ptrdiff_t>(index));
        }
        onMessage(agents[datagram.to], ServerId{datagram.from + 1}, datagram.message, now, effects);
        send(datagram.to);
    }

    // Time for a retry passes; clocks of all agents agree.
    void tick(std::size_t i)
    {
        now += std::chrono::milliseconds(1);
        for (auto &agent : agents) {
            agent.lastTick = now;
        }
        for (auto &[id, peer] : agents[i].peers) {
            peer.askWait = Duration{0};
        }
        onTick(agents[i], now, effects);
        send(i);
    }

    void restart(std::size_t i)
    {
        ++lives[i];
        start(i);
    }

    bool holds(std::size_t i) const
    {
        const auto &agent = agents[i];
        return agent.started && agent.missing[0] == 0;
    }

    // Agents that hold the bucket and so may place a new flow.
    std::size_t holders() const
    {
        std::size_t count = 0;
        for (std::size_t i = 0; i < agentCount; ++i) {
            count += holds(i) ? 1 : 0;
        }
        return count;
    }

    std::string digest() const
    {
        std::string out;
        for (std::size_t i = 0; i < agentCount; ++i) {
            const auto &agent = agents[i];
            out += std::to_string(lives[i]) + "," + std::to_string(owners[i]) + (agent.recovered ? "r" : "-");
            for (std::size_t other = 0; other < agentCount; ++other) {
                const auto peer = agent.peers.find(ServerId{other + 1});
                if (peer == agent.peers.end()) {
                    continue;
                }
                const auto open = peer->second.asking.find(0);
                const bool asks = open != peer->second.asking.end();
                out += peer->second.granted[0] ? "g" : "-";
                out += asks ? "a" + std::to_string(open->second.sequence) + (open->second.denied ? "d" : "")
                            : "";
                out += "s" + std::to_string(peer->second.askSequence) + "h"
                    + std::to_string(peer->second.heardSequence) + "i"
                    + std::to_string(peer->second.incarnation);
            }
            out += ";";
        }
        for (const auto &datagram : network) {
            out += std::to_string(datagram.from) + ">" + std::to_string(datagram.to)
                + encodeDirectoryMessage(datagram.message) + "|";
        }
        return out;
    }
};

struct Explorer
{
    std::unordered_set<std::string> seen;
    std::size_t states = 0;
    std::string failure;

    void visit(const State &state, int depth, const std::string &path)
    {
        if (!failure.empty() || !seen.insert(std::to_string(depth) + state.digest()).second) {
            return;
        }
        ++states;
        if (state.holders() > 1) {
            failure = path;
            return;
        }
        if (depth == 0) {
            return;
        }
        for (std::size_t i = 0; i < agentCount; ++i) {
            step(state, depth, path + " tick" + std::to_string(i), [i](State &next) { next.tick(i); });
            for (std::size_t owner = 0; owner < agentCount; ++owner) {
                if (owner == state.owners[i]) {
                    continue;
                }
                step(state, depth, path + " roster" + std::to_string(i) + ":" + std::to_string(owner),
                     [i, owner](State &next) { next.giveRoster(i, owner); });
            }
            if (state.lives[i] < 2) {
                step(state, depth, path + " restart" + std::to_string(i),
                     [i](State &next) { next.restart(i); });
            }
        }
        for (std::size_t i = 0; i < state.network.size(); ++i) {
            const auto name = std::to_string(i);
            step(state, depth, path + " deliver" + name, [i](State &next) { next.deliver(i, false); });
            step(state, depth, path + " repeat" + name, [i](State &next) { next.deliver(i, true); });
            step(state, depth, path + " lose" + name, [i](State &next) {
                next.network.erase(next.network.begin() + static_cast<std::ptrdiff_t>(i));
            });
        }
    }

    template<typename Change>
    void step(const State &state, int depth, const std::string &path, Change change)
    {
        State next = state;
        change(next);
        visit(next, depth - 1, path);
    }
};

// All messages arrive until nothing is under way and nobody waits.
void settle(State &state)
{
    for (int round = 0; round < 20; ++round) {
        for (std::size_t i = 0; i < agentCount; ++i) {
            state.tick(i);
            while (!state.network.empty()) {
                state.deliver(0, false);
            }
        }
    }
}

TEST(Handover, onlyOneAgentHoldsTheBucketInAnyOrder)
{
    Explorer explorer;
    State state;
    settle(state);
    ASSERT_TRUE(state.holds(0));
    explorer.visit(state, 5, "");
    EXPECT_EQ(explorer.failure, "");
    EXPECT_GT(explorer.states, 10000U);
}

TEST(Handover, onlyOneAgentHoldsTheBucketFromAColdStart)
{
    Explorer explorer;
    explorer.visit(State(), 4, "");
    EXPECT_EQ(explorer.failure, "");
    EXPECT_GT(explorer.states, 3000U);
}

// One step of a random history.
void randomStep(State &state, std::uint32_t choice)
{
    const auto kind = choice % 16;
    const auto agent = (choice / 16) % agentCount;
    const auto owner = (choice / 64) % agentCount;
    if (kind < 3) {
        state.tick(agent);
    } else if (kind == 3) {
        state.giveRoster(agent, owner);
    } else if (kind == 4 && state.lives[agent] < 4) {
        state.restart(agent);
    } else if (!state.network.empty()) {
        const auto index = (choice / 256) % state.network.size();
        if (kind == 5) {
            state.network.erase(state.network.begin() + static_cast<std::ptrdiff_t>(index));
        } else {
            state.deliver(index, kind < 9);
        }
    }
}

TEST(Handover, onlyOneAgentHoldsTheBucketInLongHistories)
{
    EXPECT_TRUE(rc::check([](const std::vector<std::uint32_t> &choices) {
        State state;
        for (const auto choice : choices) {
            for (std::uint32_t turn = 0; turn < 8; ++turn) {
                randomStep(state, choice * 2654435761U + turn * 40503U);
                RC_ASSERT(state.holders() <= 1);
            }
        }
    }));
}

// Whatever happened before, the owner that all agree on holds the bucket once messages arrive.
TEST(Handover, theOwnerHoldsTheBucketInTheEnd)
{
    EXPECT_TRUE(rc::check([](const std::vector<std::uint32_t> &choices, std::uint8_t last) {
        State state;
        for (const auto choice : choices) {
            randomStep(state, choice * 2654435761U);
        }
        const std::size_t owner = last % agentCount;
        for (std::size_t i = 0; i < agentCount; ++i) {
            state.giveRoster(i, owner);
        }
        settle(state);
        RC_ASSERT(state.holds(owner));
        RC_ASSERT(state.holders() == 1);
    }));
}

PacketInfo packetOf(std::uint32_t number, bool opens)
{
    return {
        .flow = flowKey(number), .service = idOf<ServiceId>(serviceName), .rosterVersion = 1, .opens = opens};
}

// Opens a flow at its owner, moves the bucket through random owners and restarts, and follows a packet.
TEST(Handover, flowIsFoundAfterAnyMovesOfItsBucket)
{
    EXPECT_TRUE(rc::check([](const std::vector<std::uint8_t> &moves) {
        State state;
        settle(state);
        onPacket(state.agents[0], packetOf(7, true), state.now, state.effects);
        RC_ASSERT(state.effects.verdict.action == PacketAction::Deliver);
        for (const auto move : moves) {
            for (std::size_t i = 0; i < agentCount; ++i) {
                state.giveRoster(i, move % agentCount);
            }
            settle(state);
        }
        std::size_t at = state.owners[0];
        auto packet = packetOf(7, false);
        onPacket(state.agents[at], packet, state.now, state.effects);
        if (state.effects.verdict.action == PacketAction::Forward) {
            packet.purpose = state.effects.verdict.purpose;
            packet.fromServer = ServerId{at + 1};
            at = state.effects.verdict.to.value - 1;
            onPacket(state.agents[at], packet, state.now, state.effects);
        }
        RC_ASSERT(state.effects.verdict.action == PacketAction::Deliver);
        RC_ASSERT(at == 0U);
    }));
}

} // namespace
