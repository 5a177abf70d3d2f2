#include "stability.h"

#include <algorithm>
#include <bit>
#include <memory>
#include <random>
#include <set>

#include "spread.h"

namespace oriolelever::lab {

namespace {

constexpr std::size_t callOverhead = 200; // HTTP/2 frames, TCP and IP headers of a call and its answer.
constexpr std::size_t objectBytes = 120; // A status object and its HTTP headers.
constexpr std::size_t listPage = 1000; // Objects that one read of a list brings.

// Which nodes do not answer: random neighbours, in the hypercube, of a random node.
std::vector<bool> chooseFailed(const StabilityOptions &options)
{
    std::vector<bool> failed(options.nodes);
    std::minstd_rand random(options.seed);
    const auto cube = incompleteHypercube(options.nodes);
    auto neighbours = cube[options.nodes / 2];
    std::shuffle(neighbours.begin(), neighbours.end(), random);
    // The node that asks is the first and does not fail.
    std::erase(neighbours, 0U);
    for (std::size_t i = 0; i < std::min(options.failed, neighbours.size()); ++i) {
        failed[neighbours[i]] = true;
    }
    return failed;
}

std::size_t countLive(const std::vector<bool> &failed)
{
    return static_cast<std::size_t>(std::count(failed.begin(), failed.end(), false));
}

InForceQuery sampleQuestion()
{
    return {.key = {RecordKind::Zone, "milano-a"}, .version = {0, 123456}};
}

// The tree that one question builds, with the time at which each part is answered.
class Tree
{
public:
    Tree(const StabilityOptions &options, const std::vector<Member> &members, const std::vector<bool> &failed)
        : m_options(options)
        , m_members(members)
        , m_failed(failed)
        , m_load(members.size())
        , m_questionBytes(encodeInForceQuery(sampleQuestion()).size())
    {
    }

    struct Answer
    {
        Duration at{0};
        InForceReport report;
    };

    // Collects at `self` from `start` on.
    Answer collect(std::size_t self, const InForceQuery &question, Duration start)
    {
        Answer answer{.at = start};
        countNode(answer.report, m_members[self].name, true);
        auto part = question;
        part.timeout = question.timeout * 3 / 4;
        auto sending = start;
        for (auto &range : splitQueryRange(m_members, question, m_members[self].name)) {
            sending += m_options.handling;
            const auto child = ask(self, part, std::move(range), sending);
            addReport(answer.report, child.report);
            answer.at = std::max(answer.at, child.at);
        }
        return answer;
    }

    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;

    std::uint64_t largestLoad() const
    {
        return *std::max_element(m_load.begin(), m_load.end());
    }

private:
    Answer ask(std::size_t asker, const InForceQuery &question, std::vector<Member> range, Duration at)
    {
        Answer total{.at = at};
        while (!range.empty()) {
            const auto delegate = range.front();
            const auto index = static_cast<std::size_t>(
                std::lower_bound(m_members.begin(), m_members.end(), delegate) - m_members.begin());
            ++messages;
            ++m_load[asker];
            bytes += m_questionBytes + callOverhead;
            if (m_failed[index]) {
                total.at += m_options.timeout;
                countNode(total.report, delegate.name, false);
                range.erase(range.begin());
                continue;
            }
            auto part = question;
            part.first = delegate.label;
            part.last = range.back().label;
            m_load[index] += 2;
            const auto child = collect(index, part, total.at + m_options.delay + m_options.handling);
            ++messages;
            ++m_load[asker];
            bytes += encodeInForceReport(child.report).size();
            addReport(total.report, child.report);
            total.at = child.at + m_options.delay + m_options.handling;
            break;
        }
        return total;
    }

    const StabilityOptions &m_options;
    const std::vector<Member> &m_members;
    const std::vector<bool> &m_failed;
    std::vector<std::uint64_t> m_load;
    std::size_t m_questionBytes;
};

using Bitmap = std::vector<std::uint64_t>;

bool coversLive(const Bitmap &bitmap, const Bitmap &live)
{
    for (std::size_t word = 0; word < live.size(); ++word) {
        if ((bitmap[word] & live[word]) != live[word]) {
            return false;
        }
    }
    return true;
}

} // namespace

std::vector<std::vector<std::size_t>> incompleteHypercube(std::size_t count)
{
    std::vector<std::set<std::size_t>> edges(count);
    const auto dimension = count <= 1 ? 0 : std::bit_width(count - 1);
    const auto complete = std::size_t{1} << dimension;
    for (std::size_t node = 0; node < count; ++node) {
        for (int bit = 0; bit < static_cast<int>(dimension); ++bit) {
            const auto other = node ^ (std::size_t{1} << bit);
            if (other < count) {
                edges[node].insert(other);
            }
        }
    }
    for (std::size_t missing = count; missing < complete; ++missing) {
        std::vector<std::size_t> around;
        for (int bit = 0; bit < static_cast<int>(dimension); ++bit) {
            const auto other = missing ^ (std::size_t{1} << bit);
            if (other < count) {
                around.push_back(other);
            }
        }
        if (around.size() < 2) {
            continue;
        }
        std::sort(around.begin(), around.end());
        if (around.size() % 2 == 1) {
            around.erase(around.begin());
        }
        const auto half = around.size() / 2;
        for (std::size_t i = 0; i < half; ++i) {
            edges[around[i]].insert(around[half + i]);
            edges[around[half + i]].insert(around[i]);
        }
    }
    std::vector<std::vector<std::size_t>> result;
    for (const auto &neighbours : edges) {
        result.emplace_back(neighbours.begin(), neighbours.end());
    }
    return result;
}

StabilityFigures measurePlatformWrites(const StabilityOptions &options)
{
    const auto live = countLive(chooseFailed(options));
    const auto pages = (options.nodes + listPage - 1) / listPage;
    StabilityFigures figures{.confirmed = live, .live = live};
    figures.messages = 2 * (live + pages);
    figures.bytes = (live + options.nodes) * objectBytes + live * callOverhead + pages * callOverhead;
    figures.largestLoad = live + pages;
    const double writing = static_cast<double>(live) / options.platformWrites;
    const double reading = static_cast<double>(pages) / options.platformReads;
    figures.time = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(writing + reading));
    return figures;
}

StabilityFigures measureCoordinator(const StabilityOptions &options)
{
    const auto failed = chooseFailed(options);
    const auto live = countLive(failed);
    StabilityFigures figures{.confirmed = live, .live = live};
    const auto asked = options.nodes - 1;
    const auto answered = live - 1;
    const auto question = encodeInForceQuery(sampleQuestion()).size();
    InForceReport one;
    countNode(one, "n1", true);
    figures.messages = asked + answered;
    figures.bytes = asked * (question + callOverhead) + answered * encodeInForceReport(one).size();
    figures.largestLoad = figures.messages;
    figures.time = options.handling * static_cast<int>(figures.messages) + options.delay * 2;
    if (answered < asked) {
        figures.time = std::max<Duration>(figures.time, options.timeout);
    }
    return figures;
}

StabilityFigures measureTree(const StabilityOptions &options)
{
    const auto members = syntheticMembers(options.nodes, options.zones);
    const auto failed = chooseFailed(options);
    Tree tree(options, members, failed);
    const auto answer = tree.collect(0, sampleQuestion(), Duration(0));
    return {.messages = tree.messages,
            .bytes = tree.bytes,
            .largestLoad = tree.largestLoad(),
            .time = answer.at,
            .confirmed = answer.report.confirmed,
            .live = countLive(failed)};
}

StabilityFigures measureHypercube(const StabilityOptions &options)
{
    const auto failed = chooseFailed(options);
    const auto cube = incompleteHypercube(options.nodes);
    const auto words = (options.nodes + 63) / 64;
    const std::size_t messageBytes = words * 8 + 32;
    StabilityFigures figures{.live = countLive(failed)};
    Bitmap live(words);
    std::vector<Bitmap> known(options.nodes, Bitmap(words));
    for (std::size_t node = 0; node < options.nodes; ++node) {
        const auto bit = std::uint64_t{1} << (node % 64);
        known[node][node / 64] |= bit;
        live[node / 64] |= failed[node] ? 0 : bit;
    }
    std::vector<std::uint64_t> load(options.nodes);
    bool waited = false;
    bool finished = false;
    const auto longestPath = 2 * static_cast<std::size_t>(std::bit_width(options.nodes)) + 2;
    for (std::size_t iteration = 0; iteration < longestPath && !finished; ++iteration) {
        const auto before = known;
        std::size_t mostNeighbours = 0;
        for (std::size_t node = 0; node < options.nodes; ++node) {
            if (failed[node]) {
                continue;
            }
            mostNeighbours = std::max(mostNeighbours, cube[node].size());
            for (const auto other : cube[node]) {
                // Once given up, a neighbour gets no more messages.
                if (failed[other] && iteration > 0) {
                    continue;
                }
                ++figures.messages;
                ++load[node];
                figures.bytes += messageBytes;
                if (failed[other]) {
                    continue;
                }
                ++load[other];
                for (std::size_t word = 0; word < words; ++word) {
                    known[other][word] |= before[node][word];
                }
            }
        }
        figures.time += options.delay + options.handling * static_cast<int>(2 * mostNeighbours);
        if (!waited && options.failed > 0) {
            figures.time += options.timeout;
            waited = true;
        }
        finished = true;
        for (std::size_t node = 0; node < options.nodes; ++node) {
            finished = finished && (failed[node] || coversLive(known[node], live));
        }
    }
    // The last state goes to the neighbours once more, as the protocol ends a round.
    for (std::size_t node = 0; node < options.nodes; ++node) {
        const auto sent = failed[node] ? 0 : cube[node].size();
        figures.messages += sent;
        figures.bytes += sent * messageBytes;
        load[node] += 2 * sent;
    }
    for (std::size_t word = 0; word < words; ++word) {
        figures.confirmed += static_cast<std::size_t>(std::popcount(known[0][word] & live[word]));
    }
    figures.largestLoad = *std::max_element(load.begin(), load.end());
    return figures;
}

} // namespace oriolelever::lab
