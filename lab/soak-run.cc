#include "soak-run.h"

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <numeric>
#include <random>

#include <asio/signal_set.hpp>
#include <fmt/format.h>

#include "oriolelever/clock.h"
#include "soak-network.h"
#include "soak-plan.h"
#include "soak-process.h"
#include "soak-servers.h"
#include "standin-wire.h"
#include "store-server.h"

namespace oriolelever::lab {

namespace {

using namespace platform::standin;
using std::chrono::milliseconds;

// Every process has an address of its own, so that ports need not differ.
constexpr std::uint16_t balancerPort = 8172; ///< Callers' packets, and agents as balancers see them.
constexpr std::uint16_t agentPort = 8173; ///< Where agents take packets.
constexpr std::uint16_t linkPort = 7720; ///< Where balancers take reports.
constexpr std::uint16_t relayedLinkPort = 7730; ///< Balancers as agents see them.
constexpr std::uint16_t outboundPort = 8162;
constexpr std::uint16_t serverPort = 8080;
constexpr std::uint16_t healthPort = 8167;
constexpr std::uint16_t heartbeatPort = 8166;
constexpr std::uint16_t storePort = 8169;
constexpr const char *metricsPort = "9464";

constexpr milliseconds tickPeriod{20};
constexpr milliseconds stallLimit{250}; ///< Beyond it the machine was too busy to judge bounds in time.
constexpr milliseconds restartTime{550}; ///< After which the platform starts an ended process again.
constexpr milliseconds reuseTime{2000}; ///< After which an address is given to another server.
constexpr milliseconds grace{6000}; ///< For a process to end after SIGTERM.
constexpr milliseconds startLimit{15'000};
constexpr milliseconds recovery{12'000}; ///< The first users' `RecoveryS`.
constexpr milliseconds finalWindow{3000};
constexpr milliseconds memoryPeriod{2000};
constexpr std::uint64_t memoryLimit = 79ULL << 20; ///< Of the smallest hosts.
constexpr std::array<const char *, 3> zones{"a", "b", "c"};
constexpr std::array<const char *, 2> services{"desk", "archive"};
constexpr std::size_t flippedRoute = 2; ///< The configured route that moves between the services.
constexpr std::size_t mostLongFlows = 400; ///< That one thread can play.

Endpoint at(const IpAddress &address, std::uint16_t port)
{
    return {address, port};
}

// When and with what a process is to go on, as part of an upgrade.
struct PlannedReplacement
{
    milliseconds at{0}; ///< After the start of the callers.
    std::size_t node = 0;
    std::string program;
};

// Replaces each process once in the first two thirds of `duration`; if it goes back, each once in the first
// third and again in the second one.
std::vector<PlannedReplacement> planReplacements(const SoakOptions &options, std::size_t balancers)
{
    if (!options.upgrade) {
        return {};
    }
    const auto order = options.upgrade->order;
    std::vector<std::size_t> nodes(options.processes);
    std::iota(nodes.begin(), nodes.end(), 0U);
    if (order == UpgradeOrder::AgentsFirst) {
        std::rotate(nodes.begin(), nodes.begin() + static_cast<std::ptrdiff_t>(balancers), nodes.end());
    } else if (order != UpgradeOrder::BalancersFirst) {
        std::mt19937_64 random(options.seed);
        std::shuffle(nodes.begin(), nodes.end(), random);
    }
    std::vector<PlannedReplacement> plan;
    for (const auto node : nodes) {
        plan.push_back({.node = node, .program = options.program});
    }
    if (order == UpgradeOrder::MixedAndBack) {
        for (const auto node : nodes) {
            plan.push_back({.node = node, .program = options.upgrade->earlierProgram});
        }
    }
    const auto step = options.duration * 2 / 3 / static_cast<std::int64_t>(plan.size());
    for (std::size_t i = 0; i < plan.size(); ++i) {
        plan[i].at = step * static_cast<std::int64_t>(i + 1);
    }
    return plan;
}

struct Node
{
    std::string name;
    std::string zone;
    std::string service; ///< Of an agent.
    bool isBalancer = false;
    IpAddress address;
    std::string program; ///< That the next start runs.
    ChildProcess process;
    bool wanted = true; ///< Started again when it ends.
    bool ending = false; ///< Was told to end, or killed.
    bool paused = false;
    TimePoint startAt{}; ///< Zero if no start is due.
    TimePoint killAt{}; ///< Zero if it was not asked to end.
    std::unique_ptr<StoreLink> storeLink;
    std::unique_ptr<SoakServer> server;
    milliseconds clockOffset{0};
};

struct Later
{
    TimePoint at{};
    std::function<void()> act;
};

class SoakRun
{
public:
    explicit SoakRun(const SoakOptions &options)
        : m_options(options)
        , m_random(options.seed)
        , m_ledger(LedgerBounds{})
        , m_network(m_context, options.seed + 1)
        , m_timer(m_context)
        , m_signals(m_context, SIGINT, SIGTERM)
        , m_plan(options.oddEntries ? std::vector<PlannedFault>()
                                    : planFaults(options.seed, options.duration))
    {
    }

    Result<SoakOutcome> run()
    {
        BOOST_LEAF_CHECK(reserveNetwork());
        std::filesystem::create_directories(m_options.directory);
        m_store = std::make_unique<StoreServer>(m_context, at(hostAddress(250, 1), storePort),
                                                m_options.seed + 2);
        setStoreFaults({});
        configure();
        keepStoreCopies();
        BOOST_LEAF_CHECK(makeNodes());
        makeCallers();
        BOOST_LEAF_CHECK(m_callers->open());
        m_signals.async_wait([this](const asio::error_code &error, int) {
            if (!error) {
                m_outcome.interrupted = true;
                m_context.stop();
            }
        });
        BOOST_LEAF_CHECK(startNodes());
        m_lastTick = steadyNow();
        m_phaseEnds = m_lastTick + startLimit;
        scheduleTick();
        m_context.run();
        if (m_failed) {
            return leaf::new_error(*m_failed);
        }
        return finish();
    }

private:
    enum class Phase { Starting, Faults, Recovering, Final, Ending };

    // A /16 of loopback that no other run uses; one socket keeps it.
    Result<void> reserveNetwork()
    {
        constexpr std::uint32_t first = 64;
        constexpr std::uint32_t count = 128;
        constexpr std::uint16_t reservationPort = 7099;
        const auto offset = static_cast<std::uint32_t>(::getpid());
        for (std::uint32_t i = 0; i < count; ++i) {
            m_subnet = (127U << 24) | ((first + (offset + i) % count) << 16);
            const bool taken = handleError(
                [&]() -> Result<bool> {
                    BOOST_LEAF_ASSIGN(m_reservation,
                                      openDatagramSocket(at(hostAddress(255, 254), reservationPort)));
                    return true;
                },
                [](const Error &) { return false; });
            if (taken) {
                return {};
            }
        }
        return fail(Code::AddressInUse, "every loopback network is in use by another soak");
    }

    IpAddress hostAddress(std::uint32_t third, std::uint32_t fourth) const
    {
        return ipv4Address(m_subnet | (third << 8) | fourth);
    }

    Result<void> makeNodes()
    {
        const std::size_t balancers = std::max<std::size_t>(2, m_options.processes / 5);
        m_replacements = planReplacements(m_options, balancers);
        for (std::size_t i = 0; i < m_options.processes; ++i) {
            const bool isBalancer = i < balancers;
            auto node = std::make_unique<Node>();
            node->isBalancer = isBalancer;
            node->program = m_options.upgrade ? m_options.upgrade->earlierProgram : m_options.program;
            node->name = fmt::format("{}-{}", isBalancer ? "balancer" : "agent", i);
            node->zone = zones[i % zones.size()];
            // Two of three servers are of the first service.
            node->service = isBalancer ? "" : services[i % 3 == 2 ? 1 : 0];
            node->address = hostAddress(1 + static_cast<std::uint32_t>(i / 250),
                                        1 + static_cast<std::uint32_t>(i % 250));
            node->storeLink = std::make_unique<StoreLink>(m_context, at(node->address, storePort),
                                                          at(hostAddress(250, 1), storePort));
            BOOST_LEAF_CHECK(
                m_network.add({.name = node->name,
                               .zone = node->zone,
                               .relay = at(node->address, isBalancer ? relayedLinkPort : balancerPort),
                               .target = at(node->address, isBalancer ? linkPort : agentPort)}));
            if (!isBalancer) {
                makeServer(*node, i);
            }
            m_nodes.push_back(std::move(node));
        }
        return {};
    }

    void makeServer(Node &node, std::size_t index)
    {
        const auto plant = m_options.plant;
        node.server
            = std::make_unique<SoakServer>(m_context, m_ledger,
                                           ServerHost{.node = node.name,
                                                      .zone = node.zone,
                                                      .server = at(node.address, serverPort),
                                                      .outbound = at(node.address, outboundPort),
                                                      .heartbeats = at(node.address, heartbeatPort)},
                                           ServerTimes{},
                                           ServerPlants{.runTwice = plant == SoakPlant::RunTwice,
                                                        .hideDeparture = plant == SoakPlant::HideDeparture,
                                                        .hideCold = plant == SoakPlant::HideCold},
                                           m_options.seed + 1000 + index);
        node.server->nameOf = [this](const IpAddress &address) {
            return nameOf(address);
        };
    }

    std::string nameOf(const IpAddress &address) const
    {
        const auto *node = m_network.nodeAt(address);
        return node == nullptr ? std::string() : node->name;
    }

    void makeCallers()
    {
        std::vector<RoutedBalancer> balancers;
        std::size_t agents = 0;
        for (const auto &node : m_nodes) {
            if (!node->isBalancer) {
                ++agents;
                continue;
            }
            balancers.push_back({.name = node->name,
                                 .zone = node->zone,
                                 .packets = at(node->address, balancerPort),
                                 .health = at(node->address, healthPort)});
        }
        m_balancers = balancers.size();
        m_router = std::make_unique<SoakRouter>(m_context, std::move(balancers));
        CallerOptions options{.services = m_addresses, .balancerPort = balancerPort, .agentPort = agentPort};
        options.longFlows = std::min<std::size_t>(mostLongFlows, 5 * agents);
        options.shortFlowsPerSecond = std::min<double>(mostLongFlows, 2.0 * static_cast<double>(agents));
        for (std::size_t i = 0; i < zones.size(); ++i) {
            options.sites.push_back(
                {.zone = zones[i], .address = hostAddress(200, 1 + static_cast<std::uint32_t>(i))});
        }
        m_callers = std::make_unique<SoakCallers>(
            m_context, m_ledger, *m_router, std::move(options),
            SoakCallers::Links{.nameOf = [this](const IpAddress &address) { return nameOf(address); },
                               .passage =
                                   [this](const std::string &name) {
                                       return m_network.passageToCaller(name);
                                   }},
            m_options.seed + 3);
    }

    Result<void> startNodes()
    {
        for (const auto &node : m_nodes) {
            BOOST_LEAF_CHECK(startProcess(*node));
            if (node->server) {
                node->server->start(node->service, false, milliseconds(0), false);
            }
        }
        m_router->start();
        return {};
    }

    Result<void> startProcess(Node &node)
    {
        const auto base = fmt::format("{}/{}", m_options.directory, node.name);
        std::ofstream(base + ".json") << settingsText({
            .node = node.name,
            .zone = node.zone,
            .service = node.service,
            .address = node.address,
            .packets = at(node.address, node.isBalancer ? balancerPort : agentPort),
            .outbound = node.isBalancer ? Endpoint{} : at(node.address, outboundPort),
            .health = at(node.address, healthPort),
            .heartbeats = at(node.address, heartbeatPort),
            .server = node.isBalancer ? Endpoint{} : at(node.address, serverPort),
            .store = at(node.address, storePort),
            .internalPort = node.isBalancer ? linkPort : relayedLinkPort,
            .coldFactor = LedgerBounds{}.coldFactor,
            .coldSlack = LedgerBounds{}.coldSlack,
        });
        node.startAt = {};
        node.killAt = {};
        node.ending = false;
        node.paused = false;
        m_ledger.processStarted(node.name);
        m_ledger.disturb(node.name, steadyNow(), steadyNow());
        return node.process.start({.program = node.program,
                                   .arguments = {node.isBalancer ? "balancer" : "agent", metricsPort},
                                   .environment = {settingsVariable(base + ".json")},
                                   .output = base + ".log"});
    }

    void configure()
    {
        const auto now = steadyNow();
        if (m_addresses.empty()) {
            constexpr std::uint16_t servicePort = 443;
            for (std::uint32_t i = 1; i <= services.size() + 1; ++i) {
                m_addresses.push_back(at(ipv4Address((198U << 24) | (18U << 16) | i), servicePort));
            }
        }
        m_version += 1 + m_random() % 3;
        m_flipped = !m_flipped;
        OperatorConfiguration entry{.version = m_version, .idleTimeout = milliseconds(15'000)};
        std::map<Endpoint, std::string> routes;
        for (std::size_t i = 0; i < m_addresses.size(); ++i) {
            const auto *service = i == flippedRoute ? services[m_flipped ? 1 : 0] : services[i];
            entry.routes.push_back({m_addresses[i], service});
            routes[m_addresses[i]] = service;
        }
        for (const auto *service : services) {
            entry.coldFlowRates.emplace_back(service, ServerTimes{}.coldPerSecond);
        }
        if (m_options.plant != SoakPlant::HideConfiguration || m_phase == Phase::Starting) {
            m_store->configure(entry);
            m_configuration = entry;
        }
        m_ledger.configured(m_version, routes, now);
    }

    void scheduleTick()
    {
        m_timer.expires_after(tickPeriod);
        m_timer.async_wait([this](const asio::error_code &error) {
            if (!error) {
                tick();
                scheduleTick();
            }
        });
    }

    void tick()
    {
        const auto now = steadyNow();
        const auto gap = now - m_lastTick;
        if (gap > stallLimit) {
            ++m_outcome.stalls;
            m_ledger.disturb("", m_lastTick, now);
        }
        m_lastTick = now;
        watchProcesses(now);
        runLater(now);
        switch (m_phase) {
        case Phase::Starting:
            if (m_router->inRotation() == m_balancers) {
                enter(Phase::Faults, now, m_options.duration);
                m_outcome.began = now;
                m_callers->start();
                planOddEntries(now);
            } else if (now > m_phaseEnds) {
                m_ledger.processEnded("", "not all balancers became ready", now);
                m_context.stop();
            }
            return;
        case Phase::Faults:
            while (!m_plan.empty() && now - m_outcome.began >= m_plan.front().at) {
                play(m_plan.front(), now);
                m_plan.erase(m_plan.begin());
            }
            while (!m_replacements.empty() && now - m_outcome.began >= m_replacements.front().at) {
                replaceProgram(m_replacements.front(), now);
                m_replacements.erase(m_replacements.begin());
            }
            if (now > m_phaseEnds) {
                endFaults();
                enter(Phase::Recovering, now, recovery);
            }
            return;
        case Phase::Recovering:
            if (now > m_phaseEnds) {
                m_recovered = m_callers->figures();
                enter(Phase::Final, now, finalWindow);
            }
            return;
        case Phase::Final:
            if (now > m_phaseEnds) {
                judgeRecovery(now);
                m_callers->stop();
                stopAll(now);
                enter(Phase::Ending, now, grace);
            }
            return;
        case Phase::Ending:
            const bool allEnded = std::none_of(m_nodes.begin(), m_nodes.end(),
                                               [](const auto &node) { return node->process.isRunning(); });
            if (allEnded || now > m_phaseEnds) {
                m_context.stop();
            }
            return;
        }
    }

    void planOddEntries(TimePoint now)
    {
        if (!m_options.oddEntries) {
            return;
        }
        later(now + m_options.duration / 4, [this] {
            m_outcome.balancerMemory.before = balancerMemory();
            changeOddEntries(0, true);
        });
        later(now + m_options.duration / 2, [this] { changeOddEntries(0, false); });
    }

    // Writes or removes the entries from `next` on, a few at a time so that callers and servers do not wait.
    void changeOddEntries(std::size_t next, bool isWritten)
    {
        constexpr std::size_t batch = 500;
        const auto end = std::min(next + batch, *m_options.oddEntries);
        for (; next < end; ++next) {
            const auto name = fmt::format("a-{:06}", next);
            if (isWritten) {
                m_store->putAgent(name, oddHost(next));
            } else {
                m_store->eraseAgent(name);
            }
        }
        if (next < *m_options.oddEntries) {
            later(steadyNow(), [this, next, isWritten] { changeOddEntries(next, isWritten); });
        }
    }

    // Outside the networks of all soaks.
    static IpAddress oddHost(std::size_t index)
    {
        return ipv4Address((127U << 24) + (200U << 16) + static_cast<std::uint32_t>(index));
    }

    std::uint64_t balancerMemory() const
    {
        std::uint64_t bytes = 0;
        for (const auto &node : m_nodes) {
            bytes += node->isBalancer ? node->process.residentBytes() : 0;
        }
        return bytes;
    }

    void enter(Phase phase, TimePoint now, milliseconds length)
    {
        m_phase = phase;
        m_phaseEnds = now + length;
    }

    void watchProcesses(TimePoint now)
    {
        const bool seesMemory = now - m_memorySeen > memoryPeriod;
        for (const auto &node : m_nodes) {
            if (auto end = node->process.takeEnd(); end) {
                onEnded(*node, *end, now);
            }
            if (node->wanted && node->startAt != TimePoint{} && now >= node->startAt) {
                note(startProcess(*node));
            }
            if (node->killAt != TimePoint{} && now > node->killAt && !node->paused
                && node->process.isRunning()) {
                m_ledger.processEnded(node->name, "it did not end in time after SIGTERM", now);
                node->killAt = {};
                node->process.send(SIGKILL);
            }
            if (seesMemory && node->process.isRunning()) {
                const auto bytes = node->process.residentBytes();
                m_outcome.largestMemory = std::max(m_outcome.largestMemory, bytes);
                m_ledger.memorySeen(node->name, bytes, memoryLimit, now);
            }
        }
        if (seesMemory && m_outcome.balancerMemory.before > 0 && m_phase != Phase::Ending) {
            m_outcome.balancerMemory.after = balancerMemory();
            m_outcome.balancerMemory.with
                = std::max(m_outcome.balancerMemory.with, m_outcome.balancerMemory.after);
        }
        m_memorySeen = seesMemory ? now : m_memorySeen;
    }

    void onEnded(Node &node, const std::string &how, TimePoint now)
    {
        const bool failed = !node.ending || (node.killAt != TimePoint{} && how != "status 0");
        if (failed) {
            m_ledger.processEnded(node.name, how, now);
        }
        node.killAt = {};
        if (m_phase == Phase::Ending) {
            return;
        }
        if (node.wanted) {
            node.startAt = now + restartTime;
            m_ledger.disturb(node.name, now, node.startAt);
            return;
        }
        m_ledger.disturbPlanned(node.name, now, now + reuseTime);
        later(now + reuseTime, [this, &node] {
            node.wanted = true;
            node.service = services[m_random() % services.size()];
            note(startProcess(node));
            node.server->start(node.service, true, node.clockOffset, false);
        });
    }

    void later(TimePoint when, std::function<void()> act)
    {
        m_later.push_back({when, std::move(act)});
    }

    void runLater(TimePoint now)
    {
        std::vector<Later> due;
        std::erase_if(m_later, [&](Later &entry) {
            if (entry.at > now) {
                return false;
            }
            due.push_back(std::move(entry));
            return true;
        });
        for (const auto &entry : due) {
            entry.act();
        }
    }

    void note(Result<void> result)
    {
        handleError([&]() -> Result<void> { return std::move(result); },
                    [this](const Error &error) { giveUp(error); });
    }

    void giveUp(const Error &error)
    {
        m_failed = error;
        m_context.stop();
    }

    void endAt(TimePoint when, std::function<void()> end)
    {
        if (m_options.plant != SoakPlant::KeepFaults) {
            later(when, std::move(end));
        }
    }

    // A fault of a process that ends by itself at `until`.
    void during(Node &node, TimePoint now, TimePoint until, std::function<void()> end)
    {
        m_ledger.disturb(node.name, now, until);
        endAt(until, std::move(end));
    }

    Node &any(std::uint32_t target)
    {
        return *m_nodes[target % m_nodes.size()];
    }

    Node &anyAgent(std::uint32_t target)
    {
        const auto agents = m_nodes.size() - m_balancers;
        return *m_nodes[m_balancers + target % agents];
    }

    void kill(Node &node, TimePoint now)
    {
        if (!node.process.isRunning()) {
            return;
        }
        m_ledger.disturb(node.name, now, now);
        node.ending = m_options.plant != SoakPlant::KillUnseen;
        node.killAt = {};
        node.process.send(SIGKILL);
    }

    void terminate(Node &node, TimePoint now)
    {
        node.ending = true;
        node.killAt = now + grace;
        node.process.send(SIGTERM);
    }

    void stop(Node &node, TimePoint now)
    {
        if (node.process.isRunning() && !node.ending) {
            m_ledger.disturbPlanned(node.name, now, now + grace);
            terminate(node, now);
        }
    }

    // A process that does not run, or is already ending, starts with the other program next time.
    void replaceProgram(const PlannedReplacement &replacement, TimePoint now)
    {
        auto &node = *m_nodes[replacement.node];
        node.program = replacement.program;
        ++m_outcome.replaced;
        stop(node, now);
    }

    void play(const PlannedFault &fault, TimePoint now)
    {
        ++m_outcome.faults;
        const auto until = now + fault.lasting;
        playOnNode(fault, any(fault.target), now, until);
        playOnStore(fault, any(fault.target), now, until);
        playOnLinks(fault, any(fault.target), now, until);
        playOnServer(fault, anyAgent(fault.target), now, until);
        playOperator(fault, now, until);
    }

    void playOnNode(const PlannedFault &fault, Node &node, TimePoint now, TimePoint until)
    {
        switch (fault.kind) {
        case FaultKind::KillNode:
            kill(node, now);
            return;
        case FaultKind::StopNode:
            stop(node, now);
            return;
        case FaultKind::PauseNode:
            if (node.process.isRunning()) {
                node.paused = true;
                node.process.send(SIGSTOP);
                during(node, now, until, [&node] {
                    node.paused = false;
                    node.process.send(SIGCONT);
                });
            }
            return;
        case FaultKind::KillMany:
            for (const auto &each : m_nodes) {
                if (static_cast<double>(m_random() % 1000) / 1000 < fault.strength) {
                    kill(*each, now);
                }
            }
            return;
        case FaultKind::ReloadNode:
            node.process.send(SIGHUP);
            return;
        default:
            return;
        }
    }

    void playOnStore(const PlannedFault &fault, Node &node, TimePoint now, TimePoint until)
    {
        auto &link = *node.storeLink;
        const auto mend = [&link] {
            link.faults = {};
        };
        // A process without the store still carries flows.
        const auto onLink = [&](const StoreLinkFaults &faults) {
            link.faults = faults;
            m_ledger.disturbPlanned(node.name, now, until);
            endAt(until, mend);
        };
        const auto onStore = [&](const StoreFaults &faults) {
            setStoreFaults(faults);
            m_storeFaulty = true;
            m_ledger.disturbStore(now, until);
            endAt(until, [this] {
                m_storeFaulty = false;
                setStoreFaults({});
            });
        };
        constexpr milliseconds slowest{400};
        switch (fault.kind) {
        case FaultKind::CutStore:
            onLink({.silent = true});
            return;
        case FaultKind::DeafStore:
            onLink({.deaf = true});
            return;
        case FaultKind::SlowStore:
            onLink({.delay = std::chrono::duration_cast<milliseconds>(slowest * fault.strength)});
            return;
        case FaultKind::ResetStore:
            m_ledger.disturbPlanned(node.name, now, now);
            link.reset();
            return;
        case FaultKind::StoreBusy:
            onStore({.unavailable = true});
            return;
        case FaultKind::StoreSilent:
            onStore({.silent = true});
            return;
        case FaultKind::StoreLate:
            onStore({.delay = std::chrono::duration_cast<milliseconds>(slowest * fault.strength)});
            return;
        case FaultKind::StoreLosesAnswers:
            onStore({.unansweredWriteShare = fault.strength});
            return;
        case FaultKind::StoreForgets:
            m_ledger.disturbStore(now, now);
            m_store->dropHistory();
            return;
        case FaultKind::StoreStepsBack:
            if (!m_storeFaulty) {
                beginStepBack(fault, now);
            }
            return;
        default:
            return;
        }
    }

    void setStoreFaults(StoreFaults faults)
    {
        faults.hidesEra = m_options.plant == SoakPlant::HideEra;
        m_store->setFaults(faults);
    }

    // Copies are kept periodically, so that the store loses what was written since the last one.
    void keepStoreCopies()
    {
        constexpr milliseconds period{10'000};
        if (m_options.oddEntries) {
            return;
        }
        m_store->keepCopy();
        later(steadyNow() + period, [this] { keepStoreCopies(); });
    }

    // In half of the cases all processes are killed too, so that they start before, while or after the store
    // steps back. Until then it is healthy, silent or late, or refuses half of them.
    void beginStepBack(const PlannedFault &fault, TimePoint now)
    {
        // The store loses at least these changes, which the processes have seen.
        constexpr int lostVersions = 5;
        constexpr milliseconds seenTime{300};
        static constexpr milliseconds latest{400};
        for (int i = 0; i < lostVersions; ++i) {
            configure();
        }
        m_storeFaulty = true;
        auto stepTime = now + fault.lasting + seenTime;
        if (fault.target % 2 == 1) {
            constexpr std::array<milliseconds, 3> killTimes{milliseconds(-1500), -restartTime,
                                                            milliseconds(200)};
            const auto killTime = killTimes[(fault.target >> 1) % killTimes.size()];
            stepTime = std::max(stepTime, now + seenTime - killTime);
            later(stepTime + killTime, [this] {
                for (const auto &each : m_nodes) {
                    kill(*each, steadyNow());
                }
            });
        }
        const auto condition = (fault.target >> 4) % 4;
        later(now + seenTime, [this, condition, now, stepTime] {
            setStoreFaults({.silent = condition == 0, .delay = condition == 1 ? latest : milliseconds(0)});
            for (std::size_t i = 0; condition == 2 && i < m_nodes.size(); i += 2) {
                m_nodes[i]->storeLink->faults = {.refusing = true};
                m_nodes[i]->storeLink->reset();
                m_ledger.disturbPlanned(m_nodes[i]->name, now, stepTime);
            }
        });
        later(stepTime, [this, condition, now, isLate = (fault.target >> 6) % 2 == 0] {
            for (std::size_t i = 0; condition == 2 && i < m_nodes.size(); i += 2) {
                m_nodes[i]->storeLink->faults = {};
            }
            stepStoreBack(now, milliseconds(isLate ? 1500 : 100));
        });
    }

    // The store has been in trouble since `troubleSince`; the operator writes again after `rewriteDelay`.
    void stepStoreBack(TimePoint troubleSince, milliseconds rewriteDelay)
    {
        constexpr milliseconds changeDelay{500}; ///< From then until the operator's next change.
        const auto now = steadyNow();
        m_store->stepBack();
        setStoreFaults({});
        m_ledger.steppedBack(troubleSince, now + rewriteDelay);
        later(now + rewriteDelay, [this] {
            m_storeFaulty = false;
            writeAgain();
        });
        later(now + rewriteDelay + changeDelay, [this] {
            if (!m_storeFaulty) {
                configure();
            }
        });
    }

    // The operator writes again what the store may have lost.
    void writeAgain()
    {
        m_store->configure(m_configuration);
        for (const auto *zone : zones) {
            if (m_evacuatedZones.contains(zone)) {
                m_store->evacuate(zone);
            } else {
                m_store->endEvacuation(zone);
            }
        }
    }

    void playOnLinks(const PlannedFault &fault, Node &node, TimePoint now, TimePoint until)
    {
        const auto onLinks = [&](const LinkFaults &faults) {
            m_network.faultsOf(node.name) = faults;
            during(node, now, until, [this, &node] { m_network.faultsOf(node.name) = {}; });
        };
        constexpr double mostLoss = 0.4;
        constexpr milliseconds latest{250};
        switch (fault.kind) {
        case FaultKind::CutNode:
            onLinks({.deaf = true, .mute = true});
            return;
        case FaultKind::DeafNode:
            onLinks({.deaf = true});
            return;
        case FaultKind::MuteNode:
            onLinks({.mute = true});
            return;
        case FaultKind::LossyNode:
            onLinks({.loss = mostLoss * fault.strength});
            return;
        case FaultKind::LateNode:
            onLinks({.delay = std::chrono::duration_cast<milliseconds>(latest * fault.strength)});
            return;
        case FaultKind::CutZones: {
            const std::string one = zones[fault.target % zones.size()];
            const std::string other = zones[(fault.target + 1) % zones.size()];
            m_network.cutZones(one, other);
            for (const auto &each : m_nodes) {
                if (each->zone == one || each->zone == other) {
                    m_ledger.disturb(each->name, now, until);
                }
            }
            endAt(until, [this] { m_network.mendZones(); });
            return;
        }
        default:
            return;
        }
    }

    void playOnServer(const PlannedFault &fault, Node &node, TimePoint now, TimePoint until)
    {
        auto &server = *node.server;
        switch (fault.kind) {
        case FaultKind::CrashServer:
            if (!server.isRunning() || server.isDraining()) {
                return;
            }
            server.crash();
            during(node, now, until, [&node] {
                if (node.wanted && !node.server->isRunning()) {
                    node.server->start(node.service, true, node.clockOffset, false);
                }
            });
            return;
        case FaultKind::RestartServer:
            if (!server.isRunning() || server.isDraining()) {
                return;
            }
            m_ledger.disturb(node.name, now, now);
            server.crash();
            server.start(node.service, true, node.clockOffset, true);
            return;
        case FaultKind::ReplaceServer:
            if (!server.isRunning() || server.isDraining() || !node.wanted) {
                return;
            }
            server.drain([this, &node] { onServerLeft(node); });
            return;
        case FaultKind::StepClock: {
            constexpr milliseconds step{2000};
            node.clockOffset = fault.strength < 0.5 ? -step : step;
            endAt(until, [&node] { node.clockOffset = {}; });
            return;
        }
        default:
            return;
        }
    }

    // The platform ends the agent of a server that has left.
    void onServerLeft(Node &node)
    {
        const auto now = steadyNow();
        node.wanted = false;
        m_ledger.disturbPlanned(node.name, now, now + reuseTime);
        if (node.process.isRunning()) {
            terminate(node, now);
            return;
        }
        node.startAt = {};
        onEnded(node, "status 0", now);
    }

    void playOperator(const PlannedFault &fault, TimePoint now, TimePoint until)
    {
        if (m_storeFaulty) {
            return;
        }
        switch (fault.kind) {
        case FaultKind::Evacuate: {
            const std::string zone = zones[fault.target % zones.size()];
            constexpr milliseconds evacuation{8000}; ///< Longer than the time in which it must be in force.
            if (m_options.plant != SoakPlant::HideEvacuation) {
                m_store->evacuate(zone);
                m_evacuatedZones.insert(zone);
            }
            m_ledger.evacuated(zone, now);
            endAt(until + evacuation, [this, zone] {
                m_store->endEvacuation(zone);
                m_evacuatedZones.erase(zone);
                m_ledger.takenBack(zone, steadyNow());
            });
            return;
        }
        case FaultKind::Configure:
            configure();
            return;
        case FaultKind::ConfigureOften: {
            constexpr int versions = 5;
            constexpr milliseconds pause{150};
            for (int i = 0; i < versions; ++i) {
                later(now + pause * i, [this] {
                    if (!m_storeFaulty) {
                        configure();
                    }
                });
            }
            return;
        }
        default:
            return;
        }
    }

    void endFaults()
    {
        // Faults that were to last longer end now; what they promise to restart is started.
        const auto now = steadyNow();
        if (m_options.plant == SoakPlant::KeepFaults) {
            for (const auto &node : m_nodes) {
                m_network.faultsOf(node->name) = {.deaf = true, .mute = true};
            }
            return;
        }
        auto entries = std::exchange(m_later, {});
        for (const auto &entry : entries) {
            entry.act();
        }
        runLater(now);
    }

    void judgeRecovery(TimePoint now)
    {
        const auto &figures = m_callers->figures();
        const auto served = figures.requestsAnswered - m_recovered.requestsAnswered;
        const auto refused = figures.openingsRefused - m_recovered.openingsRefused + figures.openingsIgnored
            - m_recovered.openingsIgnored;
        const auto failed = figures.requestsUnanswered - m_recovered.requestsUnanswered;
        m_ledger.endedWith(served, served + refused + failed, now);
    }

    void stopAll(TimePoint now)
    {
        for (const auto &node : m_nodes) {
            m_ledger.disturbPlanned(node->name, now, now + grace);
            node->wanted = false;
            node->startAt = {};
            if (node->process.isRunning()) {
                terminate(*node, now);
            }
        }
        m_later.clear();
    }

    SoakOutcome finish()
    {
        const auto now = steadyNow();
        for (const auto &node : m_nodes) {
            if (node->process.isRunning() && !m_outcome.interrupted) {
                m_ledger.processEnded(node->name, "it did not end in time after SIGTERM", now);
            }
        }
        m_outcome.violations = m_ledger.violations();
        m_outcome.figures = m_callers->figures();
        for (int i = 0; i <= static_cast<int>(Promise::Processes); ++i) {
            const auto promise = static_cast<Promise>(i);
            m_outcome.judged[promise] = m_ledger.judged(promise);
        }
        return m_outcome;
    }

    SoakOptions m_options;
    std::mt19937_64 m_random;
    asio::io_context m_context;
    SoakLedger m_ledger;
    SoakNetwork m_network;
    asio::steady_timer m_timer;
    asio::signal_set m_signals;
    std::vector<PlannedFault> m_plan;
    std::vector<PlannedReplacement> m_replacements;
    FileDescriptor m_reservation;
    std::uint32_t m_subnet = 0;
    std::unique_ptr<StoreServer> m_store;
    std::vector<std::unique_ptr<Node>> m_nodes;
    std::unique_ptr<SoakRouter> m_router;
    std::unique_ptr<SoakCallers> m_callers;
    std::size_t m_balancers = 0;
    std::vector<Endpoint> m_addresses; ///< Virtual ones, in the order of the routes.
    OperatorConfiguration m_configuration; ///< Last one that was written.
    std::set<std::string> m_evacuatedZones; ///< By the operator.
    std::uint64_t m_version = 0;
    bool m_flipped = false;
    bool m_storeFaulty = false;
    std::vector<Later> m_later;
    Phase m_phase = Phase::Starting;
    TimePoint m_phaseEnds{};
    TimePoint m_lastTick{};
    TimePoint m_memorySeen{};
    CallerFigures m_recovered;
    std::optional<Error> m_failed;
    SoakOutcome m_outcome;
};

} // namespace

std::string_view toString(UpgradeOrder order)
{
    switch (order) {
    case UpgradeOrder::BalancersFirst:
        return "balancers first";
    case UpgradeOrder::AgentsFirst:
        return "agents first";
    case UpgradeOrder::Mixed:
        return "mixed";
    case UpgradeOrder::MixedAndBack:
        return "mixed and back";
    }
    return "unknown";
}

Result<SoakOutcome> runSoak(const SoakOptions &options)
{
    SoakRun run(options);
    return run.run();
}

} // namespace oriolelever::lab
