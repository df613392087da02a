// A machine is frozen while a server leaves, and all others are killed and
// start again meanwhile. Is the server in use again?
#include "../common-2/standins.h"

using namespace review;

namespace {

constexpr double ContactSeconds = 3;
constexpr double DrainSeconds = 2;
constexpr double RestartAfter = 0.3; ///< Seconds after the freeze began.
constexpr double FreezeSeconds = 0.8;
constexpr int NodesPerZone = 5;
/// The server ends that long after its entry was removed.
constexpr double ServesFor = 20;

std::mutex ArrivalLock;
std::vector<std::pair<double, std::string>> Arrivals; ///< At the server.
std::shared_ptr<Server> Leaver;

/// Whether the last line of the node's log on the subject says that it watches
/// the store.
bool isWatcher(const Site &All, const Nodes::Node &Which) {
  std::ifstream File(All.Fleet.Folder + "/" + Which.Name + ".log");
  std::string Line;
  bool Watches = false;
  while (std::getline(File, Line)) {
    if (Line.find("is a watcher of the platform store") != std::string::npos)
      Watches = true;
    if (Line.find("no longer a watcher") != std::string::npos)
      Watches = false;
  }
  return Watches;
}

} // namespace

int main() {
  Site All;
  const auto Run = [&](Server &Self, Conn &Peer, const Head &Request) {
    std::string Body;
    if (!Peer.body(Request, Body, now() + 5))
      return false;
    if (&Self == Leaver.get()) {
      const std::lock_guard<std::mutex> Guard(ArrivalLock);
      Arrivals.emplace_back(now(), Request.field("attempt-id"));
    }
    sleepFor(0.1);
    return Self.answer(Peer, Request, "from " + Self.Id);
  };
  for (int I = 0; I < 6; ++I)
    Leaver = All.addServer("pedidos", I % 2 == 0 ? "norte-a" : "norte-b", Run);
  All.configure(Site::route("r1", "/orders/", "unsafe", "pedidos", "3", "2"),
                {"pedidos"});
  All.addNodes(NodesPerZone, {"norte-a", "norte-b"});
  All.begin();

  Nodes::Node *Frozen = nullptr;
  for (Nodes::Node &Each : All.Fleet.All) {
    const bool Watches = isWatcher(All, Each);
    All.Log.line("%s %s the store", Each.Name.c_str(),
                 Watches ? "watches" : "doesn't watch");
    if (!Watches)
      Frozen = &Each;
  }
  if (Frozen == nullptr)
    All.end(2, "all machines watch the store");

  struct Sending {
    double At;
    const Nodes::Node *Node;
  };
  std::atomic<bool> Stop{false};
  std::atomic<int> Served{0};
  std::mutex SentLock;
  std::map<std::string, Sending> Sendings;
  for (int Client = 0; Client < 30; ++Client)
    inBackground([&, Client] {
      while (!Stop) {
        const Nodes::Node &Node =
            *All.entryFor(Client % 2 == 0 ? "norte-a" : "norte-b");
        const auto Peer = Conn::open(Node.Ip, All.Fleet.Front, 0.3);
        Request Sent;
        Sent.Method = "POST";
        Sent.Path = "/orders/" + std::to_string(Client);
        Sent.Body = std::string(4000, 'o');
        Sent.AttemptId = All.attemptId();
        {
          const std::lock_guard<std::mutex> Guard(SentLock);
          Sendings[Sent.AttemptId] = {now(), &Node};
        }
        if (Peer && exchange(*Peer, Sent).Status == 200)
          ++Served;
        sleepFor(0.15);
      }
    });
  sleepFor(5);

  const double Start = now();
  if (All.Trouble) {
    All.Log.line("%s is frozen", Frozen->Name.c_str());
    All.Fleet.signal(*Frozen, SIGSTOP);
    sleepFor(0.1);
    All.Log.line("the other machines are killed");
    for (Nodes::Node &Each : All.Fleet.All)
      if (&Each != Frozen)
        All.Fleet.signal(Each, SIGKILL);
    for (Nodes::Node &Each : All.Fleet.All)
      if (&Each != Frozen)
        All.Fleet.awaitEnd(Each, 1);
  }
  {
    const std::lock_guard<std::mutex> Guard(All.Lock);
    All.Silent.insert(Leaver->Id);
  }
  const double Removed = All.Platform.remove(Leaver->key());
  All.Log.line("the entry of %s is removed", Leaver->Id.c_str());
  if (All.Trouble) {
    sleepUntil(Start + RestartAfter);
    for (Nodes::Node &Each : All.Fleet.All)
      if (&Each != Frozen)
        All.Fleet.start(Each);
    sleepUntil(Start + FreezeSeconds);
    All.Fleet.signal(*Frozen, SIGCONT);
    All.Log.line("%s wakes", Frozen->Name.c_str());
  }
  sleepUntil(Removed + ServesFor);
  Leaver->crash();
  All.Log.line("%s has ended", Leaver->Id.c_str());
  sleepFor(0.5);
  Stop = true;
  sleepFor(0.5);

  const std::lock_guard<std::mutex> Guard(ArrivalLock);
  const std::lock_guard<std::mutex> SentGuard(SentLock);
  int Late = 0;
  int Before = 0;
  for (const auto &[At, Attempt] : Arrivals) {
    Before += At < Removed ? 1 : 0;
    const Sending &From = Sendings[Attempt];
    const bool InTouch = From.At - From.Node->LastDisturbed > ContactSeconds;
    if (From.At <= Removed + DrainSeconds || !InTouch)
      continue;
    if (++Late <= 10)
      All.Log.line("request %s, sent %.3f s after the removal to %s, reached "
                   "%s %.3f s after it",
                   Attempt.c_str(), From.At - Removed, From.Node->Name.c_str(),
                   Leaver->Id.c_str(), At - Removed);
  }
  All.Log.line("requests at %s: %d before the removal, %zu in all, %d sent "
               "later than drain-s after it to machines in touch; served: %d",
               Leaver->Id.c_str(), Before, Arrivals.size(), Late,
               Served.load());
  if (Before < 10 || Served < 200)
    All.end(2, "too few requests were served");
  if (Late > 0)
    All.end(1, "DRAIN: " + std::to_string(Late) +
                   " requests reached a server that had left");
  All.end(0, "the rule held");
}
