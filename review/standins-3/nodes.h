// The project's node program as separate processes, with the settings of a small deployment.
#pragma once

#include "http.h"
#include "record.h"

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <memory>
#include <mutex>
#include <sstream>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/wait.h>

namespace standin {

/// Lets a new process take signals again, which `place` blocks for this one.
inline void unblock_signals() {
    sigset_t none;
    sigemptyset(&none);
    ::sigprocmask(SIG_SETMASK, &none, nullptr);
}

/// The processes that this run has started.
class child_list {
public:
    void add(pid_t pid) {
        const std::lock_guard lock(mutex_);
        pids_.push_back(pid);
    }
    /// Kills those that have not been waited for.
    void kill_all() {
        const std::lock_guard lock(mutex_);
        for (const pid_t pid : pids_) {
            if (::waitpid(pid, nullptr, WNOHANG) == 0) {
                ::kill(pid, SIGKILL);
                ::waitpid(pid, nullptr, 0);
            }
        }
    }

private:
    std::mutex mutex_;
    std::vector<pid_t> pids_;
};

inline child_list& children() {
    static child_list& list = *new child_list;
    return list;
}

/// A part of the loopback network that no other run uses, and a folder for settings and logs.
class place {
public:
    place() {
        const unsigned pid = static_cast<unsigned>(::getpid());
        for (unsigned i = 0; i < 200 && net_.empty(); ++i) {
            const std::string net = "127." + std::to_string(64 + (pid / 200 + i) % 180) + "." +
                                    std::to_string(1 + (pid + i) % 200) + ".";
            const socket_handle probe(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
            const sockaddr_in at = address{net + "250", 8225}.native();
            if (::bind(probe.fd(), reinterpret_cast<const sockaddr*>(&at), sizeof at) == 0) {
                net_ = net;
            }
        }
        char name[] = "/tmp/standins-3-XXXXXX";
        if (net_.empty() || ::mkdtemp(name) == nullptr) {
            throw std::runtime_error("no free addresses or no temporary folder");
        }
        folder_ = name;
        end_on_signals();
    }
    void remove_folder() const {
        if (std::system(("rm -rf " + folder_).c_str()) != 0) {
            std::fprintf(stderr, "cannot remove %s\n", folder_.c_str());
        }
    }
    place(const place&) = delete;
    place& operator=(const place&) = delete;

    address at(int host, std::uint16_t port) const { return {net_ + std::to_string(host), port}; }
    const std::string& folder() const { return folder_; }
    address store() const { return at(201, 8225); }
    address cloud() const { return at(202, 8225); }

private:
    /// Removes the folder and ends the run when it is interrupted; its processes end with it.
    void end_on_signals() const {
        sigset_t ends;
        sigemptyset(&ends);
        sigaddset(&ends, SIGTERM);
        sigaddset(&ends, SIGINT);
        ::sigprocmask(SIG_BLOCK, &ends, nullptr);
        std::thread([this, ends] {
            int number = 0;
            ::sigwait(&ends, &number);
            children().kill_all();
            remove_folder();
            std::_Exit(2);
        }).detach();
    }

    std::string net_;
    std::string folder_;
};

/// One host of the deployment. The program is the one of the deploy file, started from the root of
/// the repository.
class node {
public:
    static constexpr int memory_mb = 260;

    node(const place& where, int host, const std::string& zone, bool has_duties, record& to)
        : place_(where), host_(host), name_("edge-" + zone + "-" + std::to_string(host)),
          record_(to) {
        std::ofstream settings(file(".toml"));
        const std::string ip = where.at(host, 0).ip;
        settings << "nodeName = \"" << name_ << "\"\nrole = \"node\"\nmachineClass = \"edge\"\n"
                 << "serves = [\"edge\",\"registry\"]\nip = \"" << ip << "\"\nzone = \"" << zone
                 << "\"\nregion = \"sk-danube\"\ninternalPorts = [7600,7615]\nbootstrap = true\n"
                 << "discovery = \"platform\"\nentry = \"registry\"\nheartbeatMs = 1200\n"
                 << "[listen]\nfront = \"" << front().str() << "\"\nready = \"" << ip
                 << ":8224\"\ncontrol = \"" << ip << ":8229\"\ndirectory = \"" << ip
                 << ":8220\"\n[limits]\ncpuShare = 0.25\ncores = 1\nmemoryMb = " << memory_mb
                 << "\nmaxFds = 4100\nlinkMbps = 1000.0\ndiskMb = 0\n"
                 << "[bounds]\nseedLagS = 3\naddrReuseS = 2\ncontactMs = 3000\nackTimeoutMs = "
                    "4000\ncatchUpS = 4\ndrainTimeoutMs = 2000\ngracePeriodS = 8\nlossSlackMs = "
                    "200\nconfigApplyMs = 2000\ndowngradeSlackMs = 250\nmaxStretchMs = "
                    "5000\nstrictRevoke = false\nrevokeMs = 5000\nretryBudgetRatio = "
                    "0.2\nbudgetWindowS = 10\nbudgetSlack = 54\nquotaWindowS = 8\nquotaOverrun = "
                    "0.1\nquotaSlack = 190000\nrequireFencing = false\nleaseMs = "
                    "3000\nthawSlackMs = 300\nusageWindowS = 5\nusageTolerance = "
                    "0.05\nusageLateS = 10\ncanaryShare = 0.1\ncanarySlack = 50\nrollbackMs = "
                    "5000\nrecoveryS = 12\npassMs = 120\nreuseWindowS = 10\nttl_max_s = 5\n"
                 << "[platform]\naddress = \"" << where.store().str()
                 << "\"\nform = \"table\"\nwritesPerS = 400\nreadsPerS = 2000\ntxMs = "
                    "3.0\npartitionWritesS = 300\nrowBytes = 65536\nacross = true\nhistoryS = 20\n";
        if (has_duties) {
            settings << "[cloud]\naddress = \"" << where.cloud().str()
                     << "\"\nratePerS = 50.0\nduties = "
                        "[\"usage_report\",\"autoscale\"]\ndutiesPerS = 50.0\n";
        }
    }
    ~node() { kill(); }
    node(const node&) = delete;
    node& operator=(const node&) = delete;

    const std::string& name() const { return name_; }
    address front() const { return place_.at(host_, 8221); }

    void start() {
        const std::lock_guard lock(mutex_);
        const pid_t parent = ::getpid();
        pid_ = ::fork();
        if (pid_ == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            unblock_signals();
            const int log = ::open(file(".log").c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
            if (::getppid() != parent || log < 0) {
                ::_exit(126);
            }
            ::dup2(log, 1);
            ::dup2(log, 2);
            ::setenv("JUJUBETIDE_BOOT", file(".toml").c_str(), 1);
            ::execl("target/bin/jujubetide-node", "target/bin/jujubetide-node", nullptr);
            ::_exit(127);
        }
        children().add(pid_);
        record_.write("started " + name_);
    }
    void signal(int number) {
        const std::lock_guard lock(mutex_);
        if (pid_ > 0) {
            ::kill(pid_, number);
        }
    }
    void kill() {
        const std::lock_guard lock(mutex_);
        if (pid_ > 0) {
            ::kill(pid_, SIGKILL);
            ::waitpid(pid_, nullptr, 0);
            pid_ = -1;
        }
    }
    /// The wait status, if the process has ended by itself.
    std::optional<int> take_end() {
        const std::lock_guard lock(mutex_);
        int status = 0;
        if (pid_ <= 0 || ::waitpid(pid_, &status, WNOHANG) != pid_) {
            return std::nullopt;
        }
        pid_ = -1;
        return status;
    }
    /// The most memory that the process has had resident, in kB.
    long peak_kb() { return status_field("VmHWM:"); }
    long resident_kb() { return status_field("VmRSS:"); }

    /// Whether the process says that it is ready.
    bool is_ready() const {
        const socket_handle probe = connect_to(place_.at(host_, 8224), 300);
        if (!probe.is_open() || !probe.send_all("GET /v1/readyz HTTP/1.1\r\nHost: ready\r\n\r\n")) {
            return false;
        }
        message_reader reader(probe);
        const auto answer =
            reader.read(std::chrono::steady_clock::now() + std::chrono::milliseconds(500));
        return answer && answer->status() == 200;
    }
    std::string log() const {
        std::ifstream from(file(".log"));
        std::ostringstream text;
        text << from.rdbuf();
        return text.str();
    }

private:
    std::string file(const std::string& suffix) const {
        return place_.folder() + "/" + name_ + suffix;
    }
    long status_field(const std::string& field) {
        const std::lock_guard lock(mutex_);
        std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
        std::string word;
        long value = 0;
        while (status >> word) {
            if (word == field && status >> value) {
                return value;
            }
        }
        return 0;
    }

    const place& place_;
    int host_;
    std::string name_;
    record& record_;
    std::mutex mutex_;
    pid_t pid_ = -1;
};

inline bool wait_until(const std::function<bool()>& condition, std::chrono::milliseconds limit) {
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= end) {
            return false;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return true;
}

using node_list = std::vector<std::unique_ptr<node>>;

/// Ends all processes of the run and this one. The threads of the stand-ins end with it.
[[noreturn]] inline void end_run(const place& where, node_list& nodes, int result) {
    for (const auto& one : nodes) {
        one->kill();
    }
    where.remove_folder();
    std::_Exit(result);
}

inline bool has_trouble() {
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

/// Exit statuses of a script.
enum outcome { held = 0, broken = 1, could_not_run = 2 };

} // namespace standin
