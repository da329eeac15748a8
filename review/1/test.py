"""A stream that may not be resumed runs twice: its run was moved to a runner that then leaves and is out of reach."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins"))

from deployment import Cloud, Gateway, Store, run  # noqa: E402
from engines import Deployment, stream  # noqa: E402

STREAMS = 8
SHORT_STREAMS = 100
CUT_SECONDS = 4

MANIFEST = {
    "version": 7,
    "routes": [{"name": "chat", "host": "chat.example", "prefix": "/chat/", "kind": "streaming", "timeout_ms": 15000,
                "target_latency_ms": 500, "priority": 2, "service": "llm", "max_attempts": 1, "public": False,
                "session_affinity": True, "resumable": False, "target_gap_ms": 400}],
    "services": [{"name": "llm", "health_path": "/health", "max_connections": 370, "protocol": "h1", "tls": False,
                  "engine": {"slots": 64, "kv_capacity_tokens": 576252, "kv_token_bytes": 35136,
                             "link_mbps": 25000.0, "moves": True, "backups": True, "stride": 4, "most": 12,
                             "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0, "models": [{"name": "m"}]}}],
    "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
               "idle_timeout_ms": 15000},
    "tenants": [{"name": "crew", "api_keys": ["key-of-crew"], "priority": 1, "unit": "token_count",
                 "uncached_tokens": 200, "rate_per_s": 177031, "burst": 177031}]}


async def test(record, trouble, folder):
    store, cloud = await Store().open(), await Cloud().open()
    await store.put("op", "config", MANIFEST)
    engine = MANIFEST["services"][0]["engine"]
    deployment = Deployment(store, record, events=60, pause=0.08, prompt_tokens=4000, stride=engine["stride"],
                            token_bytes=engine["kv_token_bytes"], link_mbps=engine["link_mbps"])
    first = await deployment.engine("i-first", "a")
    await first.register()
    gateway = Gateway("front-a-1", "a", ["a", "b"], store, cloud, folder)
    await gateway.start()
    try:
        if not await gateway.wait_ready():
            return None
        return await play(record, trouble, deployment, first, gateway)
    finally:
        await gateway.end()


async def play(record, trouble, deployment, first, gateway):
    headers = [("Host", "chat.example"), ("X-Credential", "key-of-crew"), ("X-Deadline-Ms", "15000"),
               ("X-Model", "m"), ("X-Token-Counts", "%d,400" % deployment.prompt_tokens)]
    # Moves count as retries, which the gateway allows in proportion to the requests.
    short = [pair for pair in headers if pair[0] != "X-Token-Counts"] + [("X-Token-Counts", "100,8")]
    for i in range(0, SHORT_STREAMS, 5):
        await asyncio.gather(*[stream(gateway.front, "short-%d" % j, "/chat/x", short, b"b" * 200, record)
                               for j in range(i, i + 5)])
    clients = []
    for i in range(STREAMS):
        prefix = ("X-Prompt-Prefix", "5c1e07a2:800,%08x:3200" % i)
        clients.append(asyncio.create_task(stream(gateway.front, "request-%d" % i, "/chat/x", headers + [prefix],
                                                  b"b" * 1400, record)))
        await asyncio.sleep(0.03)
    await asyncio.sleep(0.5)
    second, third = await deployment.engine("i-second", "a"), await deployment.engine("i-third", "b")
    await second.register()
    await third.register()
    await asyncio.sleep(0.8)
    if trouble:
        record.add("the path from the machine to i-second is cut for", CUT_SECONDS, "s")
        cut = asyncio.create_task(second.cut(CUT_SECONDS))
        await asyncio.sleep(0.1)
    await first.drain()
    await asyncio.sleep(float(os.environ.get("GAP", "0.2")))
    await second.drain()
    await asyncio.gather(*clients)
    twice = {"request-%d" % i: deployment.runs("request-%d" % i) for i in range(STREAMS)
             if len(deployment.runs("request-%d" % i)) > 1}
    for request, runners in twice.items():
        record.add("TWICE:", request, "ran at", ", ".join(runners))
    return not twice


if __name__ == "__main__":
    run(test, HERE)
