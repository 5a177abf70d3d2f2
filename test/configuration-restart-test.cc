// Starts processes of the system at the same moment while configurations arrive and the store steps back, and
// reads from their logs which version each balancer had when.
#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>

#include <asio/steady_timer.hpp>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include "event-loop.h"
#include "oriolelever/clock.h"
#include "soak-network.h"
#include "soak-process.h"
#include "standin-wire.h"
#include "store-server.h"

namespace oriolelever::lab {
namespace {

using namespace platform::standin;
using std::chrono::milliseconds;

constexpr milliseconds applyLimit{3000}; // Within which a confirmed configuration must be in force.

enum class Condition { Healthy, Silent, Slow, HalfRefusing, GarbledEra };

// Times count from the start of all processes.
struct Scenario
{
    std::string name;
    Condition condition = Condition::Healthy; // Of the store, from `conditionAt` to the step back.
    milliseconds conditionAt{-300};
    milliseconds stepBackAt{0};
    milliseconds rewriteAt{100}; // The operator writes the lost versions again, 50 ms apart.
    std::size_t balancers = 3;
    /// The operator writes only a later version, and other writes use up the revisions that are given out
    /// again.
    bool reusesRevisions = false;
};

// The version of a balancer from a time on.
struct Shown
{
    TimePoint at{};
    std::uint64_t version = 0;
    std::uint64_t lifetime = 0;
};

// One deployment with a store of its own.
class Deployment
{
public:
    Deployment(asio::io_context &context, std::string program, Scenario scenario, std::uint32_t subnet)
        : m_context(context)
        , m_scenario(std::move(scenario))
        , m_program(std::move(program))
        , m_subnet(subnet)
        , m_directory(std::filesystem::temp_directory_path()
                      / fmt::format("oriolelever-restart-{}-{}", ::getpid(), subnet & 0xff00))
        , m_store(context, {hostAddress(250), storePort}, 1)
    {
        std::filesystem::create_directories(m_directory);
        for (std::uint32_t i = 0; i < m_scenario.balancers + agentCount; ++i) {
            m_links.push_back(std::make_unique<StoreLink>(context, Endpoint{hostAddress(i + 1), storePort},
                                                          Endpoint{hostAddress(250), storePort}));
        }
        m_processes.resize(m_links.size());
        writeVersion();
    }

    ~Deployment()
    {
        std::filesystem::remove_all(m_directory);
    }

    // All processes run once, then end together and start together.
    void play()
    {
        constexpr milliseconds firstRun{2500};
        constexpr milliseconds down{550}; // After which the platform starts an ended process again.
        startAll();
        const auto start = steadyNow() + firstRun + down;
        const auto at = [&](milliseconds time, std::function<void()> act) {
            later(start + time, std::move(act));
        };
        later(start - firstRun - down + milliseconds(500), [this] { m_store.keepCopy(); });
        for (int i = 0; i < lostVersions; ++i) {
            later(start - firstRun - down + milliseconds(700 + 150 * i), [this] { writeVersion(); });
        }
        at(-down, [this] {
            for (auto &process : m_processes) {
                process = ChildProcess();
            }
        });
        at(milliseconds(0), [this] { startAll(); });
        at(m_scenario.conditionAt, [this] { setCondition(m_scenario.condition); });
        at(m_scenario.stepBackAt, [this] {
            setCondition(Condition::Healthy);
            m_store.stepBack();
        });
        if (m_scenario.reusesRevisions) {
            at(m_scenario.rewriteAt, [this] {
                writeVersion();
                for (int i = 0; i < 2 * lostVersions; ++i) {
                    m_store.put("other", "object", {{"count", i}});
                }
            });
        } else {
            for (int i = 0; i < lostVersions; ++i) {
                at(m_scenario.rewriteAt + milliseconds(50 * i),
                   [this, i] { write(2 + static_cast<std::uint64_t>(i)); });
            }
            at(std::max(m_scenario.rewriteAt, m_scenario.stepBackAt) + milliseconds(1000),
               [this] { writeVersion(); });
        }
        m_start = start;
        m_end = start + std::max(m_scenario.rewriteAt, m_scenario.stepBackAt) + milliseconds(1000)
            + milliseconds(6000);
    }

    TimePoint end() const
    {
        return m_end;
    }

    void stop()
    {
        for (auto &process : m_processes) {
            process.send(SIGTERM);
        }
    }

    bool hasStopped()
    {
        return std::all_of(m_processes.begin(), m_processes.end(),
                           [](auto &process) { return !process.isRunning() || process.takeEnd(); });
    }

    // The longest time from when a version was confirmed, or the processes started, until a balancer had it.
    milliseconds longestDelay() const
    {
        milliseconds longest{0};
        for (std::size_t i = 0; i < m_scenario.balancers; ++i) {
            longest = std::max(longest, longestDelayOf(i));
        }
        return longest;
    }

    // The same of the balancer that was first.
    milliseconds shortestDelay() const
    {
        auto shortest = milliseconds::max();
        for (std::size_t i = 0; i < m_scenario.balancers; ++i) {
            shortest = std::min(shortest, longestDelayOf(i));
        }
        return shortest;
    }

    milliseconds longestDelayOf(std::size_t balancer) const
    {
        milliseconds longest{0};
        const auto shown = readLog(balancer);
        for (const auto &[version, confirmed] : m_confirmed) {
            const auto since = std::max(confirmed, m_start);
            const auto found
                = std::find_if(shown.begin(), shown.end(), [&, number = version](const Shown &each) {
                      return each.at >= m_start && each.version >= number;
                  });
            const auto at = found == shown.end() ? m_end : std::max(found->at, since);
            longest = std::max(longest, std::chrono::duration_cast<milliseconds>(at - since));
        }
        return longest;
    }

    // Whether a balancer had a lower version after a higher one in the same lifetime.
    bool hasGoneBack() const
    {
        for (std::size_t i = 0; i < m_scenario.balancers; ++i) {
            const auto shown = readLog(i);
            for (std::size_t next = 1; next < shown.size(); ++next) {
                if (shown[next].lifetime == shown[next - 1].lifetime
                    && shown[next].version < shown[next - 1].version) {
                    return true;
                }
            }
        }
        return false;
    }

    // Whether the first balancer has logged the event.
    bool hasLogged(std::string_view event) const
    {
        std::ifstream file(logPath(0));
        const std::string text(std::istreambuf_iterator<char>(file), {});
        return text.find(fmt::format(R"("event":"{}")", event)) != std::string::npos;
    }

    const Scenario &scenario() const
    {
        return m_scenario;
    }

private:
    static constexpr std::uint16_t storePort = 8169;
    static constexpr std::size_t agentCount = 3;
    static constexpr int lostVersions = 5;

    IpAddress hostAddress(std::uint32_t host) const
    {
        return ipv4Address(m_subnet | host);
    }

    std::string logPath(std::size_t index) const
    {
        return fmt::format("{}/{}.log", m_directory, index);
    }

    void startAll()
    {
        for (std::size_t i = 0; i < m_processes.size(); ++i) {
            const bool isBalancer = i < m_scenario.balancers;
            const auto address = hostAddress(static_cast<std::uint32_t>(i) + 1);
            const auto path = fmt::format("{}/{}.json", m_directory, i);
            std::ofstream(path) << settingsText({
                .node = fmt::format("{}-{}", isBalancer ? "balancer" : "agent", i),
                .zone
                = std::string(1, static_cast<char>('a' + (isBalancer ? i : i - m_scenario.balancers) % 3)),
                .service = isBalancer ? "" : "desk",
                .address = address,
                .packets = {address, 8172},
                .outbound = isBalancer ? Endpoint{} : Endpoint{address, 8162},
                .health = {address, 8167},
                .heartbeats = {address, 8166},
                .server = isBalancer ? Endpoint{} : Endpoint{address, 8080},
                .store = {address, storePort},
                .internalPort = 7720,
            });
            EXPECT_TRUE(m_processes[i].start({.program = m_program,
                                              .arguments = {isBalancer ? "balancer" : "agent", "9464"},
                                              .environment = {settingsVariable(path)},
                                              .output = logPath(i)}));
        }
    }

    void setCondition(Condition condition)
    {
        m_store.setFaults({.silent = condition == Condition::Silent,
                           .delay = milliseconds(condition == Condition::Slow ? 400 : 0),
                           .garblesEra = condition == Condition::GarbledEra});
        for (std::size_t i = 0; i < m_links.size(); i += 2) {
            m_links[i]->faults.refusing = condition == Condition::HalfRefusing;
            if (condition == Condition::HalfRefusing) {
                m_links[i]->reset();
            }
        }
    }

    void writeVersion()
    {
        write(++m_version);
    }

    void write(std::uint64_t version)
    {
        m_store.configure({.version = version});
        m_confirmed[version] = steadyNow();
    }

    void later(TimePoint when, std::function<void()> act)
    {
        auto timer = std::make_shared<asio::steady_timer>(m_context, when);
        timer->async_wait([timer, act = std::move(act)](const asio::error_code &error) {
            if (!error) {
                act();
            }
        });
    }

    std::vector<Shown> readLog(std::size_t index) const
    {
        std::vector<Shown> shown;
        std::ifstream file(logPath(index));
        for (std::string line; std::getline(file, line);) {
            const auto json = nlohmann::json::parse(line, nullptr, false);
            const auto event = json.is_object() ? json.value("event", "") : "";
            if (event == "configuration_in_force" || event == "era_hold_ended") {
                shown.push_back(
                    {.at = TimePoint(std::chrono::microseconds(json["steady_us"].get<std::int64_t>())),
                     .version = json["version"].get<std::uint64_t>(),
                     .lifetime = json["lifetime"].get<std::uint64_t>()});
            }
        }
        return shown;
    }

    asio::io_context &m_context;
    Scenario m_scenario;
    std::string m_program;
    std::uint32_t m_subnet;
    std::string m_directory;
    StoreServer m_store;
    std::vector<std::unique_ptr<StoreLink>> m_links;
    std::vector<ChildProcess> m_processes;
    std::uint64_t m_version = 0;
    std::map<std::uint64_t, TimePoint> m_confirmed; // When each version was last written.
    TimePoint m_start{};
    TimePoint m_end{};
};

using Deployments = std::vector<std::unique_ptr<Deployment>>;

// Plays the scenarios at the same time.
Deployments playAll(asio::io_context &context, const std::vector<Scenario> &scenarios)
{
    const auto program = std::filesystem::read_symlink("/proc/self/exe").parent_path() / "oriolelever-node";
    const auto network = (127U << 24) | ((192 + static_cast<std::uint32_t>(::getpid()) % 60) << 16);
    Deployments deployments;
    TimePoint end{};
    for (std::size_t i = 0; i < scenarios.size(); ++i) {
        const auto subnet = network | (static_cast<std::uint32_t>(i + 1) << 8);
        deployments.push_back(std::make_unique<Deployment>(context, program, scenarios[i], subnet));
        deployments.back()->play();
        end = std::max(end, deployments.back()->end());
    }
    runUntil(context, [&] { return steadyNow() > end; });
    for (const auto &deployment : deployments) {
        deployment->stop();
    }
    runUntil(context, [&] {
        return std::all_of(deployments.begin(), deployments.end(),
                           [](const auto &deployment) { return deployment->hasStopped(); });
    });
    for (const auto &deployment : deployments) {
        const auto delay = deployment->longestDelay();
        fmt::print("{}: longest delay {} ms, of the first balancer {} ms\n", deployment->scenario().name,
                   delay.count(), deployment->shortestDelay().count());
        EXPECT_LE(delay, applyLimit) << deployment->scenario().name;
        EXPECT_FALSE(deployment->hasGoneBack()) << deployment->scenario().name;
    }
    return deployments;
}

std::string_view toString(Condition condition)
{
    switch (condition) {
    case Condition::Healthy:
        return "healthy";
    case Condition::Silent:
        return "silent";
    case Condition::Slow:
        return "slow";
    case Condition::HalfRefusing:
        return "refuses half";
    case Condition::GarbledEra:
        return "garbled era";
    }
    return "unknown";
}

// Guards against watches of all balancers that end at the same time after a common start, so that none
// notices for seconds that the store has lost them.
TEST(ConfigurationRestartTest, AStepBackSoonAfterACommonStartIsNoticedInTime)
{
    asio::io_context context;
    std::vector<Scenario> scenarios;
    for (const milliseconds stepBackAt : {milliseconds(-200), milliseconds(1000), milliseconds(3900)}) {
        scenarios.push_back({.name = fmt::format("8 balancers, back at {} ms", stepBackAt.count()),
                             .stepBackAt = stepBackAt,
                             .rewriteAt = stepBackAt + milliseconds(50),
                             .balancers = 8});
    }
    scenarios.push_back({.name = "revisions given out again",
                         .stepBackAt = milliseconds(1000),
                         .rewriteAt = milliseconds(1050),
                         .balancers = 8,
                         .reusesRevisions = true});
    playAll(context, scenarios);
}

// Guards against a balancer that keeps an old version because its first calls met the store in trouble.
TEST(ConfigurationRestartTest, AConfigurationIsInForceInTimeAfterAllStartWhileTheStoreIsInTrouble)
{
    asio::io_context context;
    std::vector<Scenario> scenarios;
    for (const auto condition : {Condition::Silent, Condition::Slow, Condition::HalfRefusing}) {
        for (const milliseconds stepBackAt : {milliseconds(-200), milliseconds(300), milliseconds(1000)}) {
            for (const milliseconds rewriteAfter : {milliseconds(50), milliseconds(1500)}) {
                scenarios.push_back({.name = fmt::format("{} store, back at {} ms, written again at {} ms",
                                                         toString(condition), stepBackAt.count(),
                                                         (stepBackAt + rewriteAfter).count()),
                                     .condition = condition,
                                     .conditionAt = stepBackAt - milliseconds(700),
                                     .stepBackAt = stepBackAt,
                                     .rewriteAt = stepBackAt + rewriteAfter});
            }
        }
    }
    playAll(context, scenarios);
}

// Guards against a store that states no usable era from the start without a line in the log.
TEST(ConfigurationRestartTest, AnEraThatIsNoNumberIsLoggedBeforeTheFirstValidOne)
{
    asio::io_context context;
    const auto deployments = playAll(context,
                                     {{.name = "era that is no number",
                                       .condition = Condition::GarbledEra,
                                       .conditionAt = milliseconds(-10'000),
                                       .stepBackAt = milliseconds(-600),
                                       .rewriteAt = milliseconds(-550)}});
    EXPECT_TRUE(deployments.front()->hasLogged("store_answer_ignored"));
}

} // namespace
} // namespace oriolelever::lab
