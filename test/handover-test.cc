// Explores the handover of one bucket between three agents: every sequence of roster changes, restarts,
// ticks, deliveries, losses and duplicate deliveries up to a stated depth, and longer random sequences.
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
constexpr std::size_t messageLimit = 4; ///< Messages in flight; the oldest is lost beyond it.

// A message in flight between two agents, given by their indices.
struct Datagram
{
    std::size_t from = 0;
    std::size_t to = 0;
    DirectoryMessage message;
};

// Returns a service with three servers and one bucket, owned by the server with index `owner`.
std::shared_ptr<const ServiceRoute> routeWithOwner(std::size_t owner, std::uint64_t version,
                                                   const std::array<Incarnation, agentCount> &incarnations)
{
    auto route = std::make_shared<ServiceRoute>();
    route->id = idOf<ServiceId>(serviceName);
    route->address = endpoint(100, 443);
    route->version = version;
    for (std::size_t i = 0; i < agentCount; ++i) {
        route->servers.push_back({.id = ServerId{i + 1},
                                  .data = endpoint(static_cast<std::uint8_t>(i + 1), 6080),
                                  .incarnation = incarnations[i],
                                  .state = NodeState::Ready,
                                  .weight = 100,
                                  .connectionLimit = 100});
    }
    route->owners.assign(1, static_cast<ServerIndex>(owner));
    return route;
}

// Three agents, with server ids 1 to 3, and the messages between them.
struct State
{
    std::array<Directory, agentCount> agents;
    std::array<Incarnation, agentCount> incarnations{1, 1, 1};
    std::array<std::size_t, agentCount> owners{}; ///< The owner according to each agent's roster.
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
                                   .incarnation = incarnations[i],
                                   .loadInterval = std::chrono::hours(9),
                                   .replicaDelay = std::chrono::hours(9),
                                   .fullReplicaInterval = std::chrono::hours(9),
                                   .startResetHoldoff = Duration{0},
                                   .serverMayHaveFlows = incarnations[i] > 1,
                                   .warm = true},
                                  now);
        applyRoster(i, owners[i]);
    }

    void applyRoster(std::size_t i, std::size_t owner)
    {
        owners[i] = owner;
        applyDirectoryRoster(agents[i], routeWithOwner(owner, 1, incarnations), now, effects);
        send(i);
    }

    // Puts the grant requests and replies of the last call in flight.
    void send(std::size_t from)
    {
        for (const auto &outgoing : effects.messages) {
            const auto kind = outgoing.message.kind;
            if (kind != DirectoryMessageKind::GrantRequest && kind != DirectoryMessageKind::GrantReply) {
                continue;
            }
            network.push_back({from, outgoing.to.value - 1, outgoing.message});
            if (network.size() > messageLimit) {
                network.pop_front();
            }
        }
        effects.messages.clear();
    }

    // Delivers the message; with `again` it stays in flight to be delivered once more.
    void deliver(std::size_t index, bool again)
    {
        const auto datagram = network[index];
        if (!again) {
            network.erase(network.begin() + static_cast<std::ptrdiff_t>(index));
        }
        handleDirectoryMessage(agents[datagram.to], ServerId{datagram.from + 1}, datagram.message, now,
                               effects);
        send(datagram.to);
    }

    // Makes all retries of one agent due and runs its tick. All agents have the same clock and none pauses.
    void tick(std::size_t i)
    {
        now += std::chrono::milliseconds(1);
        for (auto &agent : agents) {
            agent.lastTickAt = now;
        }
        for (auto &[id, peer] : agents[i].peers) {
            peer.retryDelay = Duration{0};
        }
        handleDirectoryTick(agents[i], now, effects);
        send(i);
    }

    void restart(std::size_t i)
    {
        ++incarnations[i];
        start(i);
    }

    bool hasAllGrants(std::size_t i) const
    {
        const auto &agent = agents[i];
        return agent.hasRoster && agent.missingGrants[0] == 0;
    }

    // How many agents have all grants of the bucket and so may place a new flow.
    std::size_t grantedAgentCount() const
    {
        std::size_t count = 0;
        for (std::size_t i = 0; i < agentCount; ++i) {
            count += hasAllGrants(i) ? 1 : 0;
        }
        return count;
    }

    // All that decides what can follow, to recognize equal states.
    std::string digest() const
    {
        std::string out;
        for (std::size_t i = 0; i < agentCount; ++i) {
            const auto &agent = agents[i];
            out += std::to_string(incarnations[i]) + "," + std::to_string(owners[i])
                + (agent.hasAllReplies ? "r" : "-");
            for (std::size_t other = 0; other < agentCount; ++other) {
                const auto peer = agent.peers.find(ServerId{other + 1});
                if (peer == agent.peers.end()) {
                    continue;
                }
                const auto pending = peer->second.pendingGrants.find(0);
                const bool isPending = pending != peer->second.pendingGrants.end();
                out += peer->second.granted[0] ? "g" : "-";
                out += isPending
                    ? "a" + std::to_string(pending->second.sequence) + (pending->second.isDenied ? "d" : "")
                    : "";
                out += "s" + std::to_string(peer->second.sentSequence) + "h"
                    + std::to_string(peer->second.receivedSequence) + "i"
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

// Visits every state that can be reached within a number of steps. `failure` is the first path found to a
// state in which two agents have all grants.
struct Explorer
{
    std::unordered_set<std::string> visited;
    std::size_t states = 0;
    std::string failure;

    void visit(const State &state, int depth, const std::string &path)
    {
        if (!failure.empty() || !visited.insert(std::to_string(depth) + state.digest()).second) {
            return;
        }
        ++states;
        if (state.grantedAgentCount() > 1) {
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
                     [i, owner](State &next) { next.applyRoster(i, owner); });
            }
            if (state.incarnations[i] < 2) {
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

// Ticks all agents and delivers all messages, in rounds enough for every request to get its reply.
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
    ASSERT_TRUE(state.hasAllGrants(0));
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

// Takes one step of a random history, chosen by the bits of `choice`.
void randomStep(State &state, std::uint32_t choice)
{
    const auto kind = choice % 16;
    const auto agent = (choice / 16) % agentCount;
    const auto owner = (choice / 64) % agentCount;
    if (kind < 3) {
        state.tick(agent);
    } else if (kind == 3) {
        state.applyRoster(agent, owner);
    } else if (kind == 4 && state.incarnations[agent] < 4) {
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
                RC_ASSERT(state.grantedAgentCount() <= 1);
            }
        }
    }));
}

// After any history, once all rosters agree on the owner and messages arrive, the owner has all grants.
TEST(Handover, theOwnerHoldsTheBucketInTheEnd)
{
    EXPECT_TRUE(rc::check([](const std::vector<std::uint32_t> &choices, std::uint8_t last) {
        State state;
        for (const auto choice : choices) {
            randomStep(state, choice * 2654435761U);
        }
        const std::size_t owner = last % agentCount;
        for (std::size_t i = 0; i < agentCount; ++i) {
            state.applyRoster(i, owner);
        }
        settle(state);
        RC_ASSERT(state.hasAllGrants(owner));
        RC_ASSERT(state.grantedAgentCount() == 1);
    }));
}

PacketInfo packetOf(std::uint32_t number, bool opens)
{
    return {
        .flow = flowKey(number), .service = idOf<ServiceId>(serviceName), .rosterVersion = 1, .opens = opens};
}

// Opens a flow at its owner and moves the bucket through random owners. A packet of the flow at the last
// owner must then reach the holder, directly or by one forward.
TEST(Handover, flowIsFoundAfterAnyMovesOfItsBucket)
{
    EXPECT_TRUE(rc::check([](const std::vector<std::uint8_t> &moves) {
        State state;
        settle(state);
        handleFlowPacket(state.agents[0], packetOf(7, true), state.now, state.effects);
        RC_ASSERT(state.effects.verdict.action == PacketAction::Deliver);
        for (const auto move : moves) {
            for (std::size_t i = 0; i < agentCount; ++i) {
                state.applyRoster(i, move % agentCount);
            }
            settle(state);
        }
        std::size_t at = state.owners[0];
        auto packet = packetOf(7, false);
        handleFlowPacket(state.agents[at], packet, state.now, state.effects);
        if (state.effects.verdict.action == PacketAction::Forward) {
            packet.purpose = state.effects.verdict.purpose;
            packet.fromServer = ServerId{at + 1};
            at = state.effects.verdict.to.value - 1;
            handleFlowPacket(state.agents[at], packet, state.now, state.effects);
        }
        RC_ASSERT(state.effects.verdict.action == PacketAction::Deliver);
        RC_ASSERT(at == 0U);
    }));
}

} // namespace
