#include "oriolelever/presence.h"

#include <random>

#include <asio/steady_timer.hpp>

#include "oriolelever/object-follower.h"

namespace oriolelever {

namespace {

constexpr const char *hostMember = "host";

} // namespace

bool parsePresence(const Object &object, IpAddress &out)
{
    if (!object.value.is_object() || !object.value.contains(hostMember)
        || !object.value[hostMember].is_string()) {
        return false;
    }
    return parseIpAddress(object.value[hostMember].get<std::string>(), out);
}

struct Presence::State : std::enable_shared_from_this<State>
{
    State(asio::io_context &context, ObjectApi &objectApi, PresenceOptions presenceOptions,
          Events presenceEvents)
        : api(objectApi)
        , options(std::move(presenceOptions))
        , events(std::move(presenceEvents))
        , writing(context)
        , listing(context)
        , random(std::random_device{}())
    {
    }

    Object ownObject(const StorePosition &version) const
    {
        return {.kind = options.kind,
                .name = options.name,
                .version = version.revision,
                .era = version.era,
                .value = {{hostMember, toString(options.host)}}};
    }

    void create()
    {
        write({});
    }

    void write(const StorePosition &version)
    {
        lastWrite = std::chrono::steady_clock::now();
        api.write(ownObject(version), {}, [self = shared_from_this()](const Answer<Object> &answer) {
            if (self->isStopped) {
                return;
            }
            if (answer) {
                self->handleWritten(answer.value());
            } else if (answer.error().code == Code::PlatformConflict) {
                self->readExisting();
            } else {
                self->retry(answer.error(), self->writing, &State::create);
            }
        });
    }

    // An earlier start of this process, or a write whose answer was lost, may have created the entry already.
    // An entry with another host is overwritten.
    void readExisting()
    {
        api.read(options.kind, options.name, [self = shared_from_this()](const Answer<Object> &answer) {
            if (self->isStopped) {
                return;
            }
            if (!answer) {
                self->retry(answer.error(), self->writing, &State::create);
                return;
            }
            IpAddress host;
            if (parsePresence(answer.value(), host) && host == self->options.host) {
                self->handleWritten(answer.value());
            } else {
                self->write(positionOf(answer.value()));
            }
        });
    }

    void handleWritten(const Object &object)
    {
        version = positionOf(object);
        failures = 0;
        events.entry(true, options.name);
        if (!hasListed) {
            list();
        }
    }

    void list()
    {
        const auto done = [self = shared_from_this()](const Answer<ObjectList> &answer) {
            if (!self->isStopped) {
                self->applyList(answer);
            }
        };
        if (hasListed) {
            api.listStale(options.listedKind, done);
        } else {
            api.list(options.listedKind, done);
        }
    }

    void applyList(const Answer<ObjectList> &answer)
    {
        if (!answer) {
            retry(answer.error(), listing, &State::list);
            return;
        }
        failures = 0;
        hasListed = true;
        std::vector<IpAddress> hosts;
        for (const auto &object : answer.value().objects) {
            IpAddress host;
            if (parsePresence(object, host)) {
                hosts.push_back(host);
            }
        }
        events.listed(hosts);
        callAfter(listing, options.refreshPeriod, &State::list);
    }

    // The next call of one kind.
    struct Task
    {
        explicit Task(asio::io_context &context)
            : timer(context)
        {
        }

        asio::steady_timer timer;
        void (State::*retry)() = nullptr; // Null unless the call is a retry.
    };

    void retry(const Error &error, Task &task, void (State::*nextCall)())
    {
        if (++failures == 1) {
            events.entry(false, error.text);
        }
        const FollowerOptions backoff{.firstRetryDelay = options.firstRetryDelay,
                                      .maxRetryDelay = options.maxRetryDelay};
        const double randomFraction = std::uniform_real_distribution<double>(0, 1)(random);
        callAfter(task, followerBackoff(backoff, failures, randomFraction), nextCall);
        task.retry = nextCall;
    }

    void handleNewEra()
    {
        const double randomFraction = std::uniform_real_distribution<double>(0, 1)(random);
        const auto delay
            = std::chrono::duration_cast<std::chrono::milliseconds>(randomFraction * options.eraSpread);
        hasListed = false;
        callAfter(writing, delay, &State::create);
    }

    // Removes the own entry at the version in the store, which is not the one that this process wrote.
    void removeStored(std::function<void()> done)
    {
        api.read(options.kind, options.name,
                 [self = shared_from_this(), done = std::move(done)](const Answer<Object> &answer) {
                     IpAddress host;
                     if (!answer || !parsePresence(answer.value(), host) || host != self->options.host) {
                         done();
                         return;
                     }
                     self->api.remove(answer.value(), [done](const Answer<std::uint64_t> &) { done(); });
                 });
    }

    void retryNow()
    {
        for (auto *task : {&writing, &listing}) {
            if (task->retry == nullptr) {
                continue;
            }
            callAfter(*task, std::chrono::milliseconds::zero(), task->retry);
        }
    }

    void callAfter(Task &task, std::chrono::milliseconds delay, void (State::*nextCall)())
    {
        task.retry = nullptr;
        task.timer.expires_after(delay);
        task.timer.async_wait(
            [self = shared_from_this(), &task, nextCall](const asio::error_code &cancelled) {
                if (!cancelled && !self->isStopped) {
                    task.retry = nullptr;
                    ((*self).*nextCall)();
                }
            });
    }

    void cancelTimers()
    {
        writing.timer.cancel();
        listing.timer.cancel();
    }

    ObjectApi &api;
    PresenceOptions options;
    Events events;
    Task writing; // Of the own entry.
    Task listing;
    std::minstd_rand random;
    StorePosition version; // Of the own entry in the store.
    std::chrono::steady_clock::time_point lastWrite{};
    int failures = 0; // Consecutive failed calls.
    bool hasListed = false;
    bool isStopped = false;
};

Presence::Presence(asio::io_context &context, ObjectApi &api, PresenceOptions options, Events events)
    : m_state(std::make_shared<State>(context, api, std::move(options), std::move(events)))
{
}

Presence::~Presence()
{
    m_state->isStopped = true;
    m_state->cancelTimers();
}

void Presence::start()
{
    m_state->create();
}

void Presence::renew()
{
    if (m_state->hasListed
        && std::chrono::steady_clock::now() - m_state->lastWrite > m_state->options.maxRetryDelay) {
        m_state->create();
    }
}

void Presence::handleNewEra()
{
    m_state->handleNewEra();
}

void Presence::retryNow()
{
    m_state->retryNow();
}

void Presence::remove(std::function<void()> done)
{
    m_state->isStopped = true;
    m_state->cancelTimers();
    m_state->api.remove(m_state->ownObject(m_state->version),
                        [state = m_state, done = std::move(done)](const Answer<std::uint64_t> &answer) {
                            if (!answer && answer.error().code == Code::PlatformConflict) {
                                state->removeStored(done);
                                return;
                            }
                            done();
                        });
}

EntryRemoval::EntryRemoval(Presence &presence, std::function<bool()> isDecommissioned)
    : m_presence(presence)
    , m_isDecommissioned(std::move(isDecommissioned))
{
}

Result<void> EntryRemoval::start(Kernel &)
{
    return {};
}

void EntryRemoval::drain(std::function<void()> done)
{
    if (!m_isDecommissioned()) {
        done();
        return;
    }
    m_presence.remove(std::move(done));
}

void EntryRemoval::stop()
{
}

} // namespace oriolelever
