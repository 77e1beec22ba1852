use super::*;

#[test]
fn targets_carry_the_configuration_and_block_only_with_an_index() {
    let mut consul = ConsulConfig { wait: 55_000.0, timeout: 3000.0, ..ConsulConfig::default() };
    let mut service = ConsulService { name: "club authz".into(), ..ConsulService::default() };
    let mut cursor = Cursor::default();
    assert_eq!(health_target(&consul, &service, cursor), "/v1/health/service/club%20authz");
    assert_eq!(health_timeout(&consul, cursor), 3000.0);
    cursor.advance(12);
    consul.max_stale = Some(100.0);
    service.tags = vec!["a".into(), "b&c".into()];
    service.datacenter = Some("almaty".into());
    service.namespace = Some("games".into());
    service.filter = Some("Service.Meta.tier == \"club\"".into());
    assert_eq!(
        health_target(&consul, &service, cursor),
        "/v1/health/service/club%20authz?index=12&wait=55000ms&stale&dc=almaty&ns=games&tag=a&tag=b%26c\
         &filter=Service.Meta.tier%20%3D%3D%20%22club%22"
    );
    assert_eq!(
        catalogue_target(&consul, &service),
        "/v1/catalog/service/club%20authz?stale&dc=almaty&ns=games&tag=a&tag=b%26c"
    );
    assert!(health_timeout(&consul, cursor) > 55_000.0 * 17.0 / 16.0);
}
