# Names and settings files of the two deployments; sourced by quickstart.
# Every process gets a loopback address of its own, as hosts have: 127.NET.ROLE.NUMBER.

# Sets `zones`, `services` and, per service, `count_NAME`, `address_NAME`, `protocol_NAME`, `slots`.
load_deployment() {
    case "$1" in
    bellandi)
        zones=(milano-a milano-b bergamo brescia)
        services=(sportello archivio)
        slots=2
        declare -gA count=([sportello]=7 [archivio]=4)
        declare -gA address=([sportello]=192.0.2.10:443 [archivio]=192.0.2.11:443)
        declare -gA protocol=([sportello]=tcp [archivio]=tcp)
        ;;
    swn)
        zones=(ost-a ost-b ost-c)
        services=(vessel-track wx-brief)
        slots=4
        declare -gA count=([vessel-track]=7 [wx-brief]=3)
        declare -gA address=([vessel-track]=192.0.2.20:4433 [wx-brief]=192.0.2.21:443)
        declare -gA protocol=([vessel-track]=udp [wx-brief]=tcp)
        ;;
    *)
        echo "quickstart: flag \"--deployment\" does not allow \"$1\"; allowed: bellandi, swn" >&2
        exit 2
        ;;
    esac
}

balancer_host() { echo "127.$net.1.$1"; }
agent_host() { echo "127.$net.2.$1"; }
server_host() { echo "127.$net.3.$1"; }
platform_address="" # Set by the caller.
fabric_address=""

write_common() { # role name zone host
    cat <<INI
[process]
role = $1
name = $2
zone = $3
admin = $4:9000
drain_ms = 15000

[control]
listen = $4:7000
seeds = $(balancer_host 1):7000, $(balancer_host 2):7000, $(balancer_host 3):7000
plain = true
key = $packet_key

[platform]
url = http://$platform_address

INI
}

write_balancer() { # number zone
    write_common balancer "balancer-$1" "$2" "$(balancer_host "$1")"
    cat <<INI
[data]
listen = $(balancer_host "$1"):6080
INI
}

write_agent() { # number service name zone
    write_common agent "$3" "$4" "$(agent_host "$1")"
    cat <<INI
[data]
listen = $(agent_host "$1"):6080
return = $fabric_address

[server]
service = $2
packets = $(server_host "$1"):5000
requests = $(server_host "$1"):5001

[requests]
listen = $(agent_host "$1"):8080
handover = $(agent_host "$1"):8081
INI
}

write_operator() { # admin addresses
    cat <<INI
[process]
role = operator
name = quickstart

[platform]
url = http://$platform_address

[operator]
admin = $1
INI
}
