#ifndef SISKINSTAGE_TESTS_UNIT_QUOTA_REPLAY_H
#define SISKINSTAGE_TESTS_UNIT_QUOTA_REPLAY_H

#include "core/requests/fleet_quota.h"
#include "siskinstage/config.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace siskinstage::replay {

/// A node that does not run for a time, in seconds.
struct QuotaOutage {
  int Node = 0;
  double From = 0;
  double To = 0;
  bool Killed = true; ///< Else frozen: its memory and messages are kept.
};

/// Links that are cut for a time, in seconds.
struct QuotaCut {
  double From = 0;
  double To = 0;
  std::function<bool(int, int)>
      Cut; ///< Whether the first can't reach the other.
};

struct QuotaLoad {
  int Nodes = 6;
  double Rate = 50;
  double Burst = 50;
  double Length = 30;    ///< Seconds.
  double WarmUp = 3;     ///< Requests before are not sent.
  double MaxDelay = 0.1; ///< Of a message, seconds.
  double Loss = 0;
  std::uint64_t Seed = 1;
  /// Requests per second at a node, at a time in seconds.
  std::function<double(int, double)> Demand;
  std::vector<QuotaOutage> Outages;
  std::vector<QuotaCut> Cuts;
  /// Nodes that are entries, from the first on; zero for all.
  int Entries = 0;
  /// Until then, in seconds, each node takes itself for an entry, with those
  /// that it has found so far.
  double ViewsSettle = 0;
};

struct QuotaResult {
  double WorstWindow = 0; ///< Requests that ran.
  double Allowed = 0;
  int Requests = 0;
  int Ran = 0;
  /// Refused though one bucket for all nodes would have admitted them.
  std::vector<double> FalselyRefused; ///< Times, in seconds.
  std::vector<double> WithinQuota;    ///< Times of those that it admits.
  double MessagesPerNodeSecond = 0;

  [[nodiscard]] double falseShare(double From, double To) const {
    const auto In = [&](const std::vector<double> &Times) {
      return static_cast<double>(
          std::count_if(Times.begin(), Times.end(), [&](double Time) {
            return Time >= From && Time < To;
          }));
    };
    return In(this->FalselyRefused) / std::max(1.0, In(this->WithinQuota));
  }
};

/// Runs the quotas of several nodes on a virtual clock, with a network that
/// delays, loses and cuts. The clocks of the nodes differ.
class QuotaReplay {
public:
  explicit QuotaReplay(QuotaLoad Load) : Load(std::move(Load)), Rng(Load.Seed) {
    for (int I = 0; I < this->Load.Nodes; ++I) {
      this->Nodes.emplace_back();
      this->Nodes.back().Offset = 1000.0 + 77.7 * I;
      this->start(I, 0);
    }
  }

  QuotaResult run() {
    const QuotaBounds Bounds = {config::QuotaWindow, config::QuotaOverage,
                                config::QuotaSlack};
    const QuotaLimits Total =
        limitsWithHeadroom({this->Load.Rate, this->Load.Burst}, Bounds);
    double Central = this->Load.Burst;
    std::vector<double> Ran;
    constexpr double Step = 0.01;
    std::size_t Messages = 0;
    for (double Time = 0; Time < this->Load.Length; Time += Step) {
      this->setStates(Time);
      Central = std::min(this->Load.Burst, Central + this->Load.Rate * Step);
      for (int I = 0; I < this->Load.Nodes; ++I) {
        Node &Here = this->Nodes[I];
        if (!Here.Runs)
          continue;
        // A thawed process may serve requests before anything else.
        if (Time >= this->Load.WarmUp)
          for (int Due = this->draw(this->Load.Demand(I, Time) * Step); Due > 0;
               --Due) {
            const bool InQuota = Central >= 1;
            Central -= InQuota ? 1 : 0;
            ++this->Result.Requests;
            const bool Admitted =
                Here.Quota->admit(Account, Total, at(Here, Time)).Admitted;
            if (Admitted)
              Ran.push_back(Time);
            else if (InQuota)
              this->Result.FalselyRefused.push_back(Time);
            if (InQuota)
              this->Result.WithinQuota.push_back(Time);
          }
        Messages += this->deliver(I, Time);
        if (Time >= Here.NextTick) {
          Here.NextTick = Time + 0.05;
          this->updateView(I, Time);
          this->send(I, Here.Quota->tick(at(Here, Time)), Time);
        }
      }
    }
    this->Result.Ran = static_cast<int>(Ran.size());
    this->Result.MessagesPerNodeSecond =
        static_cast<double>(Messages) / this->Load.Nodes / this->Load.Length;
    const double Window = std::chrono::duration<double>(Bounds.Window).count();
    this->Result.Allowed =
        (this->Load.Rate * Window + this->Load.Burst) * (1 + Bounds.Overage) +
        Bounds.Slack;
    std::size_t First = 0;
    for (std::size_t Last = 0; Last < Ran.size(); ++Last) {
      while (Ran[Last] - Ran[First] > Window)
        ++First;
      this->Result.WorstWindow = std::max(
          this->Result.WorstWindow, static_cast<double>(Last - First + 1));
    }
    return this->Result;
  }

  FleetQuota &quota(int Index) { return *this->Nodes[Index].Quota; }

private:
  static constexpr QuotaAccount Account = 42;
  /// How long a lost node is still in the view of the others.
  static constexpr double DetectionTime = 2;

  struct Parcel {
    double ArrivesAt = 0;
    int From = 0;
    Incarnation Process;
    QuotaMessage Message;
  };
  struct Node {
    std::unique_ptr<FleetQuota> Quota;
    Incarnation Process;
    double Offset = 0; ///< Of its clock, in seconds.
    double NextTick = 0;
    bool Runs = true;
    bool Alive = true;
    std::deque<Parcel> Inbox;
    std::vector<double> LastReached; ///< When it last could reach each node.
    std::vector<Address> View;
  };

  QuotaLoad Load;
  Random Rng;
  std::vector<Node> Nodes;
  QuotaResult Result;
  std::uint64_t NextProcess = 1;

  static Address addressOf(int Index) {
    return Address("10.0.0." + std::to_string(Index + 1) + ":80");
  }
  static int indexOf(const Address &To) {
    return std::stoi(To.str().substr(7)) - 1;
  }
  static Instant at(const Node &Here, double Time) {
    return Instant(std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(Time + Here.Offset)));
  }

  int draw(double Mean) {
    int Count = 0;
    for (double Left = std::exp(-Mean), Product = this->Rng.unit();
         Product > Left; Product *= this->Rng.unit())
      ++Count;
    return Count;
  }

  void start(int Index, double Time) {
    Node &Here = this->Nodes[Index];
    // Random as those of real processes, and with low bits that differ.
    Here.Process = {
        (static_cast<std::uint64_t>(this->Rng.below(1U << 31U)) << 32U) +
        this->NextProcess++};
    Here.Quota = std::make_unique<FleetQuota>(addressOf(Index), Here.Process,
                                              at(Here, Time));
    Here.Inbox.clear();
    Here.LastReached.assign(static_cast<std::size_t>(this->Load.Nodes), -99);
    Here.View.clear();
  }

  void setStates(double Time) {
    for (int I = 0; I < this->Load.Nodes; ++I) {
      bool Alive = true;
      bool Frozen = false;
      for (const QuotaOutage &Outage : this->Load.Outages)
        if (Outage.Node == I && Time >= Outage.From && Time < Outage.To)
          (Outage.Killed ? Alive : Frozen) = Outage.Killed ? false : true;
      Node &Here = this->Nodes[I];
      if (Alive && !Here.Alive)
        this->start(I, Time);
      Here.Alive = Alive;
      Here.Runs = Alive && !Frozen;
    }
  }

  bool isCut(int From, int To, double Time) const {
    return std::any_of(this->Load.Cuts.begin(), this->Load.Cuts.end(),
                       [&](const QuotaCut &Item) {
                         return Time >= Item.From && Time < Item.To &&
                                Item.Cut(From, To);
                       });
  }

  /// As membership does: a node that can't be reached leaves the view after
  /// DetectionTime.
  void updateView(int Index, double Time) {
    Node &Here = this->Nodes[Index];
    std::vector<Address> View;
    for (int I = 0; I < this->Load.Nodes; ++I) {
      auto &Reached = Here.LastReached[static_cast<std::size_t>(I)];
      if (I == Index || (this->Nodes[I].Runs && !this->isCut(Index, I, Time) &&
                         !this->isCut(I, Index, Time)))
        Reached = Time;
      const bool IsEntry = this->Load.Entries == 0 || I < this->Load.Entries;
      const bool Found = Time >= this->Load.ViewsSettle || I >= Index;
      if (Time - Reached < DetectionTime &&
          (Time < this->Load.ViewsSettle ? Found : IsEntry))
        View.push_back(addressOf(I));
    }
    if (View == Here.View)
      return;
    Here.View = View;
    const bool Complete =
        View.size() * 2 > static_cast<std::size_t>(this->Load.Nodes);
    Here.Quota->shares().setEntries(View, Complete, at(Here, Time));
  }

  void send(int From, std::vector<OutgoingQuota> Out, double Time) {
    for (OutgoingQuota &Item : Out) {
      const int To = indexOf(Item.To);
      if (this->isCut(From, To, Time) || this->Rng.unit() < this->Load.Loss ||
          !this->Nodes[To].Alive)
        continue;
      this->Nodes[To].Inbox.push_back(
          {Time + this->Rng.unit() * this->Load.MaxDelay, From,
           this->Nodes[From].Process, std::move(Item.Message)});
    }
  }

  std::size_t deliver(int Index, double Time) {
    Node &Here = this->Nodes[Index];
    std::size_t Count = 0;
    for (std::size_t I = 0; I < Here.Inbox.size();) {
      if (Here.Inbox[I].ArrivesAt > Time) {
        ++I;
        continue;
      }
      const Parcel Item = std::move(Here.Inbox[I]);
      Here.Inbox.erase(Here.Inbox.begin() + static_cast<std::ptrdiff_t>(I));
      ++Count;
      this->send(Index,
                 Here.Quota->receive(addressOf(Item.From), Item.Process,
                                     Item.Message, at(Here, Time)),
                 Time);
    }
    return Count;
  }
};

} // namespace siskinstage::replay

#endif // SISKINSTAGE_TESTS_UNIT_QUOTA_REPLAY_H
