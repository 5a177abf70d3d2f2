// The scripts of the review: `review-standin CASE RECORD DIRECTORY`, in the repository's root. Exits with 1
// if the rule was broken, 0 if it held and 2 if the case could not run. With TROUBLE=0 in the environment the
// disruption is left out.
#include <algorithm>
#include <csignal>
#include <cstdlib>

#include "standin-world.h"

namespace review {

namespace {

constexpr int held = 0;
constexpr int broken = 1;
constexpr int notRun = 2;

bool hasTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

int verdict(bool isBroken, const std::string &text)
{
    record.line((isBroken ? "BROKEN: " : "HELD: ") + text);
    std::printf("%s%s\n", isBroken ? "BROKEN: " : "HELD: ", text.c_str());
    return isBroken ? broken : held;
}

int cannotRun(const std::string &text)
{
    record.line("NOT RUN: " + text);
    std::printf("NOT RUN: %s\n", text.c_str());
    return notRun;
}

/// Requests that were sent, each on a flow of its own, and how many were answered.
struct Traffic
{
    int sent = 0;
    int answered = 0;
    int refused = 0; ///< The flow was not opened, but reset.
};

// Sends requests on fresh flows from all zones for a while, at 20 a second.
Traffic sendTraffic(World &world, const std::string &name, double seconds, int virtualPort)
{
    struct Try
    {
        Client *client = nullptr;
        int flow = 0;
        std::string id;
        bool isSent = false;
    };

    std::vector<Try> tries;
    const auto end = nowSeconds() + seconds;
    double next = nowSeconds();
    const auto advance = [&] {
        for (auto &entry : tries) {
            if (!entry.isSent && entry.client->state(entry.flow) == FlowState::Open) {
                entry.isSent = true;
                entry.client->request(entry.flow, entry.id, 3);
            }
        }
    };
    while (nowSeconds() < end) {
        if (nowSeconds() >= next) {
            next += 0.05;
            auto &client = *world.clients[tries.size() % world.clients.size()];
            tries.push_back({.client = &client,
                             .flow = client.open(virtualPort),
                             .id = name + "-" + std::to_string(tries.size())});
        }
        advance();
        sleepFor(0.005);
    }
    const auto last = nowSeconds() + 3.5;
    while (nowSeconds() < last) {
        advance();
        sleepFor(0.01);
    }
    Traffic traffic{.sent = static_cast<int>(tries.size())};
    for (const auto &entry : tries) {
        traffic.answered += entry.client->outcome(entry.id).value_or(false) ? 1 : 0;
        traffic.refused += entry.client->state(entry.flow) == FlowState::Refused ? 1 : 0;
        entry.client->close(entry.flow);
    }
    record.line("traffic " + name + ": sent " + std::to_string(traffic.sent) + ", answered "
                + std::to_string(traffic.answered));
    return traffic;
}

// The kind of objects in which the system keeps the entry of this process.
std::string kindOfEntry(Store &store, const std::vector<std::string> &kinds, const std::string &name)
{
    for (const auto &kind : kinds) {
        const auto names = store.names(kind);
        if (std::find(names.begin(), names.end(), name) != names.end()) {
            return kind;
        }
    }
    return {};
}

int runUnreadableEntry(World &world)
{
    world.site.zones = {"milano-a", "milano-b"};
    world.addBalancer("milano-a");
    world.addBalancer("milano-b");
    for (const auto *zone : {"milano-a", "milano-b", "milano-a", "milano-b"}) {
        world.addServer(zone, "sportello");
    }
    world.configure(7, {{.port = 8080, .service = "sportello"}});
    if (!world.start()) {
        return cannotRun("the balancers did not become ready");
    }
    const auto before = sendTraffic(world, "before", 4, 8080);
    const auto kind = kindOfEntry(world.store, world.store.kinds(), world.agents.front()->name());
    if (kind.empty() || 4 * before.answered < before.sent) {
        return cannotRun("no entry of an agent, or the deployment does not serve");
    }
    if (hasTrouble()) {
        // Fields missing, a field of another type, and a string whose bytes cannot be read: RFC 8259, section
        // 8.2, allows this escape in a document, and no text stands for it. SPEC replaces the last one.
        const char *spec = std::getenv("SPEC");
        world.store.put(kind, "another-writer-1", "{}");
        world.store.put(kind, "another-writer-2", R"({"host":7})");
        world.store.put(kind, "another-writer-3", spec != nullptr ? spec : R"({"host":"\ud83d"})");
        record.line("another writer: three entries of kind " + kind);
    }
    for (auto &node : world.balancers) {
        node->send(SIGKILL);
    }
    for (auto &node : world.agents) {
        node->send(SIGKILL);
    }
    constexpr double recoverySeconds = 12;
    sleepFor(2 + recoverySeconds);
    const auto after = sendTraffic(world, "after", 6, 8080);
    return verdict(4 * after.answered < after.sent,
                   std::to_string(before.answered) + " of " + std::to_string(before.sent)
                       + " requests answered before all processes were killed, "
                       + std::to_string(after.answered) + " of " + std::to_string(after.sent)
                       + " later than 12 s after they were back; processes that ended by themselves: "
                       + std::to_string(world.ownEnds()));
}

// A flow of one client, and the id of its first and second request.
struct LongFlow
{
    Client *client = nullptr;
    int flow = 0;
    std::string first;
    std::string second;
    bool isFirstSent = false;
};

void sendFirstRequests(std::vector<LongFlow> &flows)
{
    for (auto &entry : flows) {
        if (!entry.isFirstSent && entry.client->state(entry.flow) == FlowState::Open) {
            entry.isFirstSent = true;
            entry.client->request(entry.flow, entry.first, 3);
        }
    }
}

int runStaleOpening(World &world)
{
    world.site.zones = {"milano-a", "milano-b"};
    auto &frozen = world.addBalancer("milano-a");
    world.addBalancer("milano-b");
    auto &leaving = world.addServer("milano-a", "sportello");
    auto &staying = world.addServer("milano-b", "sportello");
    auto &otherStaying = world.addServer("milano-b", "sportello");
    world.configure(7, {{.port = 8080, .service = "sportello", .type = "non_idempotent"}});
    if (!world.start()) {
        return cannotRun("the balancers did not become ready");
    }
    std::vector<LongFlow> flows;
    const auto open = [&](double until) {
        while (nowSeconds() < until) {
            const auto number = std::to_string(flows.size());
            auto &client = *world.clients[flows.size() % world.clients.size()];
            flows.push_back({.client = &client,
                             .flow = client.open(8080),
                             .first = "a" + number,
                             .second = "b" + number});
            const auto next = nowSeconds() + 0.025;
            while (nowSeconds() < next) {
                sendFirstRequests(flows);
                sleepFor(0.005);
            }
        }
    };
    const auto begin = nowSeconds();
    if (hasTrouble()) {
        frozen.send(SIGSTOP);
    }
    constexpr double freezeSeconds = 4;
    open(begin + 2);
    while (nowSeconds() < begin + freezeSeconds) {
        sendFirstRequests(flows);
        sleepFor(0.005);
    }
    if (hasTrouble()) {
        frozen.send(SIGCONT);
    }
    // A planned removal: the server drains, deregisters and ends, then its agent is stopped.
    sleepFor(1);
    leaving.drain();
    sleepFor(5);
    leaving.leave();
    world.agents.front()->send(SIGTERM);
    sleepFor(0.05);
    world.agents.front()->remove();
    sleepFor(1.5);
    int resets = 0;
    int asked = 0;
    int unanswered = 0;
    std::vector<LongFlow *> sent;
    for (auto &entry : flows) {
        const auto address = entry.client->address(entry.flow);
        const bool isHeld = staying.holds(address) || otherStaying.holds(address);
        if (entry.client->state(entry.flow) == FlowState::Open && isHeld) {
            ++asked;
            entry.client->request(entry.flow, entry.second, 5);
            sent.push_back(&entry);
        }
    }
    sleepFor(5.5);
    for (auto *entry : sent) {
        const auto address = entry->client->address(entry->flow);
        const bool isHeld = staying.holds(address) || otherStaying.holds(address);
        const bool isReset = entry->client->state(entry->flow) == FlowState::Reset && isHeld;
        resets += isReset ? 1 : 0;
        unanswered += entry->client->outcome(entry->second).value_or(false) ? 0 : 1;
        if (isReset) {
            record.line("flow of " + textOf(address) + " was reset though its server lives and holds it");
        }
    }
    if (asked == 0) {
        return cannotRun("no flow opened at a server that stays");
    }
    return verdict(resets > 0,
                   std::to_string(asked) + " requests on open flows of servers that live, "
                       + std::to_string(unanswered) + " unanswered, " + std::to_string(resets)
                       + " flows reset by the system");
}

// Opens a flow to each of the routes in turn, at 40 a second, and sends a request on each, until `until`.
void openFlows(World &world, const std::vector<int> &virtualPorts, double until, std::vector<LongFlow> &flows)
{
    while (nowSeconds() < until) {
        const auto number = std::to_string(flows.size());
        auto &client = *world.clients[flows.size() % world.clients.size()];
        flows.push_back({.client = &client,
                         .flow = client.open(virtualPorts[flows.size() % virtualPorts.size()]),
                         .first = "a" + number,
                         .second = "b" + number});
        const auto next = nowSeconds() + 0.025;
        while (nowSeconds() < next) {
            sendFirstRequests(flows);
            sleepFor(0.005);
        }
    }
}

int runReusedAddress(World &world)
{
    constexpr int sportello = 8080;
    constexpr int archivio = 8443;
    world.site.zones = {"milano-a"};
    world.addBalancer("milano-a");
    auto &reused = world.addServer("milano-a", "sportello");
    world.addServer("milano-a", "sportello");
    world.addServer("milano-a", "archivio");
    world.configure(7,
                    {{.port = sportello, .service = "sportello", .type = "non_idempotent"},
                     {.port = archivio, .service = "archivio"}});
    if (!world.start()) {
        return cannotRun("the balancer did not become ready");
    }
    std::vector<LongFlow> flows;
    const auto begin = nowSeconds();
    openFlows(world, {sportello, archivio}, begin + 2, flows);
    auto &agent = *world.agents.front();
    const double freezeSeconds = std::getenv("FREEZE") != nullptr ? std::atof(std::getenv("FREEZE")) : 4;
    if (hasTrouble()) {
        agent.send(SIGSTOP);
    }
    const auto frozenAt = nowSeconds();
    openFlows(world, {sportello, archivio}, frozenAt + 0.1, flows);
    reused.crash();
    reused.setService("archivio");
    constexpr double reuseSeconds = 2;
    openFlows(world, {sportello, archivio}, nowSeconds() + reuseSeconds, flows);
    reused.start("i-reused");
    openFlows(world, {sportello, archivio}, frozenAt + freezeSeconds, flows);
    if (hasTrouble()) {
        agent.send(SIGCONT);
    }
    openFlows(world, {sportello, archivio}, nowSeconds() + 4, flows);
    const int openings = reused.openingsTo(sportello);
    const int runs = reused.runsOf(sportello);
    const int own = reused.openingsTo(archivio);
    if (own == 0) {
        return cannotRun("the new server of archivio got no flow of its own");
    }
    return verdict(openings > 0,
                   "the server of archivio at the reused address took " + std::to_string(openings)
                       + " opening packets and ran " + std::to_string(runs)
                       + " requests to sportello, and took " + std::to_string(own)
                       + " opening packets to archivio");
}

// Opens flows of one client, and sends a first request on each.
void openFlowsOf(Client &client, int virtualPort, int count, std::vector<LongFlow> &flows)
{
    for (int i = 0; i < count; ++i) {
        const auto number = std::to_string(i);
        flows.push_back({.client = &client,
                         .flow = client.open(virtualPort),
                         .first = "a" + number,
                         .second = "b" + number});
        sleepFor(0.02);
        sendFirstRequests(flows);
    }
    sleepFor(1);
    sendFirstRequests(flows);
    sleepFor(1);
}

int runIdleLimit(World &world)
{
    constexpr int virtualPort = 8080;
    world.site.zones = {"milano-a", "milano-b"};
    world.site.idleTimeoutMs = 50'000;
    auto &cutBalancer = world.addBalancer("milano-a", CutStoreHost);
    world.addBalancer("milano-b");
    for (int i = 0; i < 6; ++i) {
        world.addServer("milano-b", "sportello");
    }
    world.configure(7, {{.port = virtualPort, .service = "sportello", .type = "non_idempotent"}});
    if (!world.start()) {
        return cannotRun("the balancers did not become ready");
    }
    std::vector<LongFlow> flows;
    openFlowsOf(world.clientOf("milano-b"), virtualPort, 60, flows);
    const auto idleSince = nowSeconds();
    constexpr double idleBeforeCut = 31;
    sleepFor(idleBeforeCut);
    constexpr double cutSeconds = 5.5;
    if (hasTrouble()) {
        world.isStoreCut = true;
        record.line("the store is cut off from " + cutBalancer.name());
        cutBalancer.send(SIGKILL);
    }
    sleepFor(cutSeconds);
    if (hasTrouble()) {
        world.isStoreCut = false;
        record.line("the cut has healed");
    }
    constexpr double contactSeconds = 4;
    sleepFor(contactSeconds + 1);
    record.line("the flows have been idle for " + std::to_string(nowSeconds() - idleSince) + " s");
    int asked = 0;
    for (auto &entry : flows) {
        if (entry.client->state(entry.flow) == FlowState::Open) {
            ++asked;
            entry.client->request(entry.flow, entry.second, 5);
        }
    }
    sleepFor(5.5);
    int resets = 0;
    int unanswered = 0;
    for (auto &entry : flows) {
        const auto address = entry.client->address(entry.flow);
        const bool isHeld = std::any_of(world.servers.begin(), world.servers.end(),
                                        [&](const auto &server) { return server->holds(address); });
        const bool isReset = entry.client->state(entry.flow) == FlowState::Reset && isHeld;
        resets += isReset ? 1 : 0;
        unanswered += entry.client->outcome(entry.second).value_or(false) ? 0 : 1;
        if (isReset) {
            record.line("flow of " + textOf(address) + " was reset though its server lives and holds it");
        }
    }
    return asked == 0
        ? cannotRun("no flow was open")
        : verdict(resets > 0,
                  std::to_string(asked) + " requests on open flows, " + std::to_string(unanswered)
                      + " unanswered, " + std::to_string(resets) + " flows reset by the system");
}

// Sends requests on the flows in turn, one in `pause` seconds, until `until`.
void sendRequests(std::vector<LongFlow> &flows, double pause, double until)
{
    double next = nowSeconds();
    for (int number = 0; nowSeconds() < until; ++number) {
        auto &entry = flows[static_cast<std::size_t>(number) % flows.size()];
        const auto id = entry.second + "-" + std::to_string(number);
        if (entry.client->state(entry.flow) == FlowState::Open && entry.client->isIdle(entry.flow)) {
            entry.client->request(entry.flow, id, 4);
        }
        next += pause;
        sleepFor(std::max(0.0, next - nowSeconds()));
    }
}

int runRestartInOutage(World &world)
{
    constexpr int virtualPort = 8080;
    world.site.zones = {"milano-a", "milano-b"};
    world.addBalancer("milano-a");
    world.addBalancer("milano-b");
    constexpr int restarted = 3;
    for (int i = 0; i < 7; ++i) {
        world.addServer(i < restarted ? "milano-b" : "milano-a", "sportello");
    }
    world.configure(7, {{.port = virtualPort, .service = "sportello", .type = "non_idempotent"}});
    if (!world.start()) {
        return cannotRun("the balancers did not become ready");
    }
    // Flows of milano-a's clients at the servers of milano-b.
    world.store.put("evacuations", "milano-a", "{}");
    record.line("operator: evacuation of milano-a acknowledged");
    sleepFor(2);
    std::vector<LongFlow> flows;
    openFlowsOf(world.clientOf("milano-a"), virtualPort, 60, flows);
    world.store.erase("evacuations", "milano-a");
    record.line("operator: evacuation of milano-a taken back");
    sleepFor(4);
    constexpr int outages = 2;
    constexpr double betweenOutages = 6;
    for (int outage = 0; outage < outages; ++outage) {
        if (hasTrouble()) {
            world.isStoreBusy = true;
            record.line("the store is down: it rejects all calls");
        }
        const auto downAt = nowSeconds();
        constexpr double firstRestart = 0.2;
        constexpr double gapSeconds = 1.2;
        constexpr double outageSeconds = 6;
        for (int i = 0; i < restarted; ++i) {
            sendRequests(flows, 0.005, downAt + firstRestart + i * gapSeconds);
            world.agents[static_cast<std::size_t>(i)]->send(SIGTERM);
        }
        sendRequests(flows, 0.005, downAt + outageSeconds);
        world.isStoreBusy = false;
        record.line("the store is back");
        sendRequests(flows, 0.005, nowSeconds() + betweenOutages);
    }
    sleepFor(4.5);
    int resets = 0;
    int open = 0;
    for (auto &entry : flows) {
        const auto address = entry.client->address(entry.flow);
        const auto state = entry.client->state(entry.flow);
        open += state == FlowState::Open ? 1 : 0;
        const bool isHeld = std::any_of(world.servers.begin(), world.servers.end(),
                                        [&](const auto &server) { return server->holds(address); });
        if (state == FlowState::Reset && isHeld) {
            ++resets;
            record.line("flow of " + textOf(address) + " was reset though its server lives and holds it");
        }
    }
    return open + resets == 0 ? cannotRun("no flow was open")
                              : verdict(resets > 0,
                                        std::to_string(resets) + " of " + std::to_string(open + resets)
                                            + " open flows of servers that live were reset by the system");
}

int runLateDeparture(World &world)
{
    constexpr int virtualPort = 8080;
    world.site.zones = {"milano-a"};
    world.addBalancer("milano-a");
    auto &server = world.addServer("milano-a", "sportello");
    world.addServer("milano-a", "sportello");
    world.configure(7, {{.port = virtualPort, .service = "sportello", .type = "non_idempotent"}});
    if (!world.start()) {
        return cannotRun("the balancer did not become ready");
    }
    server.drain();
    sleepFor(4);
    constexpr double delay = 3;
    server.leave(hasTrouble() ? delay : 0);
    sleepFor(1);
    server.start("i-1");
    sleepFor(0.5);
    std::vector<LongFlow> flows;
    openFlowsOf(world.clientOf("milano-a"), virtualPort, 20, flows);
    const int before = server.openFlows();
    world.agents.front()->send(SIGTERM);
    sleepFor(3);
    int resets = 0;
    for (auto &entry : flows) {
        const bool isHeld = server.holds(entry.client->address(entry.flow));
        resets += entry.client->state(entry.flow) == FlowState::Reset && isHeld ? 1 : 0;
    }
    return verdict(resets > 0,
                   std::to_string(resets) + " of " + std::to_string(before)
                       + " open flows of a server that lives were reset by the system");
}

int runUnreadableEvacuation(World &world)
{
    constexpr int virtualPort = 8080;
    world.site.zones = {"milano-a", "milano-b"};
    world.addBalancer("milano-a");
    world.addBalancer("milano-b");
    for (const auto *zone : {"milano-a", "milano-b", "milano-a", "milano-b"}) {
        world.addServer(zone, "sportello");
    }
    world.configure(7, {{.port = virtualPort, .service = "sportello"}});
    if (!world.start()) {
        return cannotRun("the balancers did not become ready");
    }
    if (hasTrouble()) {
        world.store.put("evacuations", "another-writer", R"({"host":"\ud83d"})");
        record.line("another writer: an entry of kind evacuations");
    }
    sleepFor(6);
    world.store.put("evacuations", "milano-b", "{}");
    record.line("operator: evacuation of milano-b acknowledged");
    constexpr double evacuationSeconds = 5;
    sleepFor(evacuationSeconds);
    const auto openingsInZone = [&] {
        return world.servers[1]->openingsTo(virtualPort) + world.servers[3]->openingsTo(virtualPort);
    };
    const int before = openingsInZone();
    sendTraffic(world, "evacuated", 5, virtualPort);
    const int openings = openingsInZone() - before;
    return verdict(openings > 0,
                   std::to_string(openings)
                       + " opening packets reached the evacuated zone later than 5 s after the ack");
}

int runLargeChanges(World &world)
{
    constexpr int changes = 12;
    constexpr int firstNewPort = 9000;
    constexpr int idleRoutes = 5000;
    world.site.zones = {"milano-a", "milano-b"};
    world.addBalancer("milano-a", CutStoreHost);
    world.addBalancer("milano-b", CutStoreHost);
    for (const auto *zone : {"milano-a", "milano-b", "milano-a", "milano-b"}) {
        world.addServer(zone, "sportello");
    }
    std::vector<Route> routes{{.port = 8080, .service = "sportello"}};
    for (int i = 0; i < idleRoutes; ++i) {
        routes.push_back({.port = 20'000 + i, .service = "sportello"});
    }
    world.configure(7, routes);
    if (!world.start()) {
        return cannotRun("the balancers did not become ready");
    }
    // Both balancers are a third of the six machines.
    const auto begin = nowSeconds();
    constexpr double refusalSeconds = 6;
    world.isStoreRefusing = hasTrouble();
    record.line(hasTrouble() ? "the store rejects the balancers" : "the store serves all");
    sleepFor(1);
    for (int i = 0; i < changes; ++i) {
        routes.push_back({.port = firstNewPort + i, .service = "sportello"});
        world.configure(static_cast<std::uint64_t>(10 + i), routes);
        sleepFor(0.33);
    }
    const auto changedAt = nowSeconds();
    sleepFor(begin + refusalSeconds - nowSeconds());
    world.isStoreRefusing = false;
    record.line("the store serves all");
    constexpr double contactSeconds = 4;
    constexpr double applySeconds = 3;
    sleepFor(std::max(begin + refusalSeconds + contactSeconds, changedAt + applySeconds) + 0.5
             - nowSeconds());
    const auto after = nowSeconds() - changedAt;
    const auto traffic = sendTraffic(world, "new-route", 4, firstNewPort + changes - 1);
    const auto usual = sendTraffic(world, "old-route", 2, 8080);
    if (2 * usual.answered < usual.sent) {
        return cannotRun("the deployment does not serve");
    }
    return verdict(traffic.refused > 0,
                   std::to_string(traffic.refused) + " of " + std::to_string(traffic.sent)
                       + " openings refused on a route that was added " + std::to_string(after)
                       + " s before, " + std::to_string(usual.answered) + " of " + std::to_string(usual.sent)
                       + " requests answered on an old one");
}

int run(int argc, char **argv)
{
    if (argc != 4 || !record.open(argv[2])) {
        std::fprintf(stderr, "usage: review-standin CASE RECORD DIRECTORY\n");
        return notRun;
    }
    std::signal(SIGPIPE, SIG_IGN);
    World world(drawSite(argv[3]));
    const std::string name = argv[1];
    if (name == "unreadable-entry") {
        return runUnreadableEntry(world);
    }
    if (name == "stale-opening") {
        return runStaleOpening(world);
    }
    if (name == "reused-address") {
        return runReusedAddress(world);
    }
    if (name == "idle-limit") {
        return runIdleLimit(world);
    }
    if (name == "restart-in-outage") {
        return runRestartInOutage(world);
    }
    if (name == "late-departure") {
        return runLateDeparture(world);
    }
    if (name == "unreadable-evacuation") {
        return runUnreadableEvacuation(world);
    }
    if (name == "large-changes") {
        return runLargeChanges(world);
    }
    return cannotRun("unknown case " + name);
}

} // namespace

} // namespace review

int main(int argc, char **argv)
{
    const int status = review::run(argc, argv);
    std::fflush(stdout);
    std::_Exit(status);
}
